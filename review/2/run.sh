#!/bin/sh
cd "$(dirname "$0")/../.."
export PYTHONPATH="$PWD/target/deps:$PWD"
exec python3 review/2/case.py
