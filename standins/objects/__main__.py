"""The command `python -m standins.objects`."""

from standins.green import run

if __name__ == '__main__':
    run('standins.objects.main')
