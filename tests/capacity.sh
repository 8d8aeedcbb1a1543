#!/bin/sh
# Checks that the tables of docs/CAPACITY.md match its benchmark run;
# prints TAP.
echo 1..1
if out=$(sh scripts/capacity.sh check 2>&1); then
	echo "ok 1 - tables of docs/CAPACITY.md"
else
	echo "$out" | sed 's/^/# /'
	echo "not ok 1 - tables of docs/CAPACITY.md"
fi
