#!/bin/sh
# mutant.sh ROW: builds one mutant and runs its fuzzer. A row is
# target|file|sed script|promise. Prints one line.
set -u
BUILD=${BUILD:-build}
RUNS=${RUNS:-2000}
target=${1%%|*}
rest=${1#*|}
file=${rest%%|*}
rest=${rest#*|}
promise=${rest##*|}
script=${rest%|*}
name=$(printf '%s' "$1" | cksum | cut -d' ' -f1)
dir=$BUILD/mutants/$target-$name
mkdir -p "$dir"
copy=$dir/$(basename "$file")
sed "$script" "$file" >"$copy"
if cmp -s "$file" "$copy"; then
	echo "STALE   $target: $promise ($file)"
	exit 0
fi
if ! make -s mutant TARGET="$target" FILE="$file" MUTANT="$copy" \
	OUT="$dir/$target" >"$dir/log" 2>&1; then
	echo "BROKEN  $target: $promise (does not build)"
	exit 0
fi
if timeout 300 sh scripts/fuzz.sh "$dir/$target" 1 "$RUNS" \
	>"$dir/log" 2>&1; then
	echo "MISSED  $target: $promise"
else
	echo "caught  $target: $promise"
fi
