"""The command `python -m standins.relay`."""

from standins.green import run

if __name__ == '__main__':
    run('standins.relay.main')
