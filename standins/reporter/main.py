"""The command line of the reporting worker."""

from argparse import ArgumentParser

import eventlet

from standins.application import Application
from standins.reporter.api import ReporterApi
from standins.reporter.holds import Holds
from standins.reporter.reports import Reports
from standins.reporter.takings import TakingLog
from standins.serving import serve


def _parser() -> ArgumentParser:
    parser = ArgumentParser(prog='standins.reporter')
    parser.add_argument('--name', default='worker')
    parser.add_argument('--service', default='service')
    parser.add_argument('--node-url', required=True)
    parser.add_argument('--sharded', action='store_true')
    defaults = {'--port': 0, '--slots': 18, '--work-ms': 5, '--report-ms': 200}
    for option, default in defaults.items():
        parser.add_argument(option, type=int, default=default)
    return parser


def main() -> None:
    """Run the worker until the process ends."""
    options = _parser().parse_args()
    holds = Holds() if options.sharded else None
    reports = Reports(options, holds)
    reports.on_held = TakingLog(reports.life).record
    eventlet.spawn_n(reports.run)
    api = ReporterApi(options, holds, reports)
    serve(Application(api.answer), options.port)
