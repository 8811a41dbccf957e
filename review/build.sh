#!/usr/bin/env bash
# Checks that the stand-ins of the cases can run. They are Python programs without dependencies
# beyond the standard library (3.11 or later), so there is nothing to compile into target/.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for source in lib/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
echo "stand-ins: ready"
