"""How a case's script runs: its record, its switch and its exit status."""

import os
import sys
import traceback
from collections.abc import Callable
from pathlib import Path

from review.lib2.deployment import Recorder

_HELD, _BROKEN, _NOT_RUN = 0, 1, 2

# Plays a case; returns whether the rule was broken.
Case = Callable[[Recorder, bool], bool]


def run_case(folder: Path, case: Case) -> None:
    """Play a case with or without its disruption, and exit."""
    record = Recorder(folder / 'record.txt')
    has_trouble = os.environ.get('TROUBLE') != '0'
    record('begin', trouble=has_trouble)
    try:
        is_broken = case(record, has_trouble)
    except Exception:
        record('not-run', reason=traceback.format_exc())
        traceback.print_exc()
        sys.exit(_NOT_RUN)
    record('end', broken=is_broken)
    print('the rule was broken' if is_broken else 'the rule held')
    sys.exit(_BROKEN if is_broken else _HELD)
