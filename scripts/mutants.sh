#!/bin/sh
# Breaks one line of the code for each row of fuzz/mutants/*.txt and shows
# that the promise's fuzzer notices. A row: target|file|sed script|promise.
set -u
BUILD=${BUILD:-build}
RUNS=${RUNS:-2000}
ONLY=${ONLY:-}
caught=0
missed=0
make -s -j fuzzers || exit 1
for list in fuzz/mutants/*.txt; do
	while IFS='|' read -r target file script promise; do
		case "$target" in ''|'#'*) continue ;; esac
		[ -z "$ONLY" ] || [ "$ONLY" = "$target" ] || continue
		dir=$BUILD/mutants/$target
		mkdir -p "$dir/$(dirname "$file")"
		sed "$script" "$file" >"$dir/$file"
		if cmp -s "$file" "$dir/$file"; then
			echo "STALE   $target: $promise ($file)"
			missed=$((missed + 1))
			continue
		fi
		if ! make -s mutant TARGET="$target" FILE="$file" \
			MUTANT="$dir/$file" >"$dir/log" 2>&1; then
			echo "BROKEN  $target: $promise (does not build)"
			sed 's/^/    /' "$dir/log" | head -5
			missed=$((missed + 1))
			continue
		fi
		if sh scripts/fuzz.sh "$dir/$target" 1 "$RUNS" >"$dir/log" 2>&1
		then
			echo "MISSED  $target: $promise"
			missed=$((missed + 1))
		else
			echo "caught  $target: $promise"
			caught=$((caught + 1))
		fi
	done <"$list"
done
echo "$caught caught, $missed missed"
[ "$missed" -eq 0 ]
