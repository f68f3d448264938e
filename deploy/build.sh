#!/bin/sh
# Places the libraries and the package under target/deps, which is on Python's path.
set -eu
if ! [ target/deps/.installed -nt deploy/requirements.txt ]; then
    python3 -m pip install -q --disable-pip-version-check --upgrade \
        --target target/deps -r deploy/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/oleandershift
cp -r src/oleandershift target/deps/oleandershift
python3 -m compileall -q target/deps/oleandershift
