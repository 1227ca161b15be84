"""The program laburnumwood, for operators."""

import getpass
import json
import sys
from pathlib import Path
from typing import Any

import fire
from urllib3 import request
from urllib3.exceptions import HTTPError

from laburnumwood.clock import Clock
from laburnumwood.config.acceptance import accept
from laburnumwood.config.merge import merge
from laburnumwood.errors import DeclarationError, LaburnumwoodError
from laburnumwood.platform.client import Platform

EXIT_FAILED = 1
EXIT_REFUSED = 2


def read_folder(folder: str) -> dict[str, dict[str, Any]]:
    """Return the JSON files of a folder by their names."""
    files = {}
    for path in sorted(Path(folder).glob('*.json')):
        try:
            files[path.name] = json.loads(path.read_text())
        except ValueError as unreadable:
            raise DeclarationError(f'{path}: {unreadable}') from unreadable
    return files


class Tool:
    """Commands for operators of laburnumwood."""

    def validate(self, folder: str) -> str:
        """Check the files of a folder without applying them."""
        merge(read_folder(folder))
        return f'{folder}: valid'

    def apply(self, folder: str, platform: str) -> str:
        """Make the files of a folder the configuration."""
        files = read_folder(folder)
        who = getpass.getuser()
        record = accept(Platform(platform), files, who, Clock())
        return f'accepted as generation {record.generation}'

    def show(self, node: str, page: str = 'status') -> str:
        """Show a page of a node's operator port, given as host:port."""
        answer = request('GET', f'http://{node}/{page}')
        return json.dumps(answer.json(), indent=2)


def main() -> int:
    """Run one command and return its exit status."""
    try:
        fire.Fire(Tool, name='laburnumwood')
    except DeclarationError as refused:
        sys.stderr.write(f'{refused}\n')
        return EXIT_REFUSED
    except (LaburnumwoodError, HTTPError) as failure:
        sys.stderr.write(f'{failure}\n')
        return EXIT_FAILED
    return 0


if __name__ == '__main__':
    sys.exit(main())
