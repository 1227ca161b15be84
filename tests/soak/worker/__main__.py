"""The command `python -m tests.soak.worker`."""

from standins.green import run

if __name__ == '__main__':
    run('tests.soak.worker.main')
