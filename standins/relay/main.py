"""The command line of the relay."""

from argparse import ArgumentParser

from standins.application import Application
from standins.relay.api import RelayApi
from standins.serving import serve


def main() -> None:
    """Serve the relay until the process ends."""
    parser = ArgumentParser(prog='standins.relay')
    parser.add_argument('--control-port', type=int, default=0)
    serve(Application(RelayApi().answer), parser.parse_args().control_port)
