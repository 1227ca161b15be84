#!/bin/sh
# Compiles all that the scripts of cases 6 to 10 start; run from anywhere.
# They need the build of the deploy file (target/deps) and nothing else.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=.:target/deps python3 -m compileall -q review/lib2 standins &&
  PYTHONPATH=.:target/deps python3 -c 'import review.lib2.cases, standins.objects.api'
