"""The command `python -m standins.worker`."""

from standins.green import run

if __name__ == '__main__':
    run('standins.worker.main')
