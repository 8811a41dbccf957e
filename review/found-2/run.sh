#!/bin/sh
# Runs a script that is no case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption.
command -v python3 > /dev/null || exit 2
python3 -B "$(dirname "$0")/statements.py" &
child=$!
trap 'kill -TERM "$child" 2> /dev/null' TERM INT
wait "$child"
status=$?
# A signal ends the first wait before the script has ended its processes.
while kill -0 "$child" 2> /dev/null; do
    wait "$child"
    status=$?
done
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
