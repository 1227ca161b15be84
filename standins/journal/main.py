"""The command line of the journal collector."""

from argparse import ArgumentParser

from standins.application import Application
from standins.journal.api import JournalApi
from standins.serving import serve


def main() -> None:
    """Serve the journal collector until the process ends."""
    parser = ArgumentParser(prog='standins.journal')
    parser.add_argument('--port', type=int, default=0)
    serve(Application(JournalApi().answer), parser.parse_args().port)
