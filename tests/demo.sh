#!/bin/sh
# Runs the demo with sanitized programs; prints TAP.
echo 1..1
if out=$(BUILD=build/asan PORT=17100 sh scripts/demo.sh 2>&1); then
	echo "ok 1 - demo"
else
	echo "$out" | sed 's/^/# /'
	echo "not ok 1 - demo"
fi
