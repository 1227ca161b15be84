"""The command line of the stand-in for the platform."""

from argparse import ArgumentParser

from standins.application import Application
from standins.platform.api import PlatformApi
from standins.serving import serve


def main() -> None:
    """Serve the stand-in for the platform until the process ends."""
    parser = ArgumentParser(prog='standins.platform')
    parser.add_argument('--port', type=int, default=0)
    serve(Application(PlatformApi().answer), parser.parse_args().port)
