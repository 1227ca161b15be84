"""The command `python -m standins.reporter`."""

from standins.green import run

if __name__ == '__main__':
    run('standins.reporter.main')
