#!/usr/bin/env bash
# Runs the case; see claim.txt.  TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps timeout 115 python3 -m review.5.case
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
