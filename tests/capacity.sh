#!/bin/sh
# The tables of the capacity page are those that its benchmark run gives.
echo 1..1
if out=$(sh scripts/capacity.sh check 2>&1); then
	echo "ok 1 - tables of docs/CAPACITY.md"
else
	echo "$out" | sed 's/^/# /'
	echo "not ok 1 - tables of docs/CAPACITY.md"
fi
