#!/bin/sh
# Builds what the scripts of cases 11 to 15 start: the program of the deploy file. Their stand-ins
# are review/lib-3/rig.py and case.py of each folder, which need Python 3.11 or later and none of its
# packages, so that there is nothing else to build.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked -p marjoramwing
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
