#!/bin/sh
# Runs a case five times with and once without its disruption: five.sh N
cd "$(dirname "$0")/.." || exit 2
for i in 1 2 3 4 5; do "review/$1/run.sh" >/dev/null; echo "run $i: exit $?"; done
cp "review/$1/record.txt" "review/$1/record-broken.tmp"
TROUBLE=0 "review/$1/run.sh" >/dev/null; echo "TROUBLE=0: exit $?"
mv "review/$1/record-broken.tmp" "review/$1/record.txt"
