#!/bin/sh
# mutant.sh ROW: builds one mutant and runs its fuzzer on seeded input. A row is
# target|file|sed script|promise. Prints one line.
set -u
BUILD=${BUILD:-build}
RUNS=${RUNS:-3000}
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
timeout 120 "$dir/$target" 1 "$RUNS" >"$dir/log" 2>&1
case $? in
0) echo "MISSED  $target: $promise" ;;
124) echo "SLOW    $target: $promise (no verdict in 120 s)" ;;
*) echo "caught  $target: $promise" ;;
esac
