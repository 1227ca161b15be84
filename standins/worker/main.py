"""The command line of the stand-in worker."""

from standins.application import Application
from standins.serving import serve
from standins.worker.api import WorkerApi
from standins.worker.options import parse_options


def main() -> None:
    """Run the worker until the process ends."""
    options = parse_options()
    serve(Application(WorkerApi(options).answer), options.port)
