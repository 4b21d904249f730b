#!/bin/sh
# Runs unit tests and scenarios and prints their totals in the last line.
set -u
report=$(mktemp -d)
trap 'rm -rf "$report"' EXIT

python -m pytest -n 4 --junitxml="$report/pytest.xml"
unit_status=$?
if [ -n "$(find features -name '*.feature' 2>/dev/null)" ]; then
    python -m behave --no-color --format progress --junit \
        --junit-directory "$report/behave" features
    scenario_status=$?
else
    scenario_status=0
fi
if [ -s KNOWN-RED.txt ]; then
    cat KNOWN-RED.txt
fi
python scripts/totals.py "$report"
totals_status=$?
[ "$unit_status" -eq 0 ] && [ "$scenario_status" -eq 0 ] &&
    [ "$totals_status" -eq 0 ]
