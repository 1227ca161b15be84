"""The command line of a worker."""

from standins.application import Application
from standins.serving import serve
from standins.worker.api import WorkerApi
from standins.worker.options import parse_options


def main() -> None:
    """Run the worker until the process ends."""
    options = parse_options()
    serve(Application(WorkerApi(options).answer), options.port)
