#!/bin/sh
# fuzz.sh PROGRAM SEED RUNS: runs a fuzzer over its kept corpus and RUNS new
# inputs. Prints the steps done; on a fault the seed and shortest sequence.
set -u
program=$1
seed=$2
runs=$3
name=$(basename "$program")
out=$(mktemp)
work=$(mktemp -d)
corpus=fuzz/corpus/$name
[ -d "$corpus" ] || corpus=""
ASAN_OPTIONS=detect_leaks=1 "$program" -seed="$seed" -runs="$runs" \
	-max_len=1024 -len_control=0 -print_final_stats=0 -verbosity=0 \
	-artifact_prefix="$work/" "$work" $corpus >"$out" 2>&1
rc=$?
if [ $rc -ne 0 ]; then
	cat "$out"
	echo "$name: failed with SEED=$seed RUNS=$runs"
else
	grep ' steps$' "$out" | tail -n 1
fi
rm -rf "$out" "$work"
exit $rc
