"""The command `python -m tests.request_stack`."""

from standins.green import run

if __name__ == '__main__':
    run('tests.request_stack.stack')
