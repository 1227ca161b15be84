#!/usr/bin/env bash
# Builds what the cases start; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -m compileall -q review standins
python3 -c 'import review.lib.store_proxy, review.lib.world, standins.objects.main'
