#!/bin/sh
# Runs every benchmark: JSON lines to build/bench.jsonl, a table to stdout.
set -eu
BUILD=${BUILD:-build}
out=$BUILD/bench.jsonl
: >"$out"
for b in "$BUILD"/bench/*_bench; do
	"$b" >>"$out"
done
if [ -x "$BUILD/fireflyledged" ] && [ -z "${NO_LOOPBACK:-}" ]; then
	sh scripts/loopback.sh >>"$out"
fi
sh scripts/bench-table.sh <"$out"
