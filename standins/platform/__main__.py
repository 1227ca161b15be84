"""The command `python -m standins.platform`."""

from standins.green import run

if __name__ == '__main__':
    run('standins.platform.main')
