#!/bin/sh
# Builds the stand-ins that the cases start: Python modules, which run from source.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review
