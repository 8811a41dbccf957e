#!/usr/bin/env bash
# Runs one of the scripts beside it, which are no cases: run.sh route, quota, paths or hold.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/marjoramwing ] && python3 -c 'import tomllib' 2>/dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout -k 5 110 python3 "${1:-case}.py" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT
wait "$child"
status=$?
# A signal ends the first wait before the case has ended its processes.
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    status=$?
done
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
