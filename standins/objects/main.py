"""The command line of the store of objects by kind and name."""

from argparse import ArgumentParser

from standins.application import Application
from standins.objects.api import ObjectsApi
from standins.serving import serve


def main() -> None:
    """Serve the store until the process ends."""
    parser = ArgumentParser(prog='standins.objects')
    parser.add_argument('--port', type=int, default=0)
    serve(Application(ObjectsApi().answer), parser.parse_args().port)
