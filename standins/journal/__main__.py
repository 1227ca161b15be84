"""The command `python -m standins.journal`."""

from standins.green import run

if __name__ == '__main__':
    run('standins.journal.main')
