#!/bin/sh
# Breaks one line of the code for each row of fuzz/mutants/*.txt and shows
# that the promise's fuzzer notices. ONLY=target limits it, RUNS=n bounds
# each fuzzer, JOBS=n the mutants at a time.
set -u
BUILD=${BUILD:-build}
RUNS=${RUNS:-3000}
JOBS=${JOBS:-4}
export BUILD RUNS
make -s -j "$JOBS" drivers || exit 1
# A driver that fails on the code as it is would catch every mutant.
for d in $(cat fuzz/mutants/*.txt | grep -Ev '^(#|$)' | cut -d'|' -f1 |
	sort -u | grep "^${ONLY:-}"); do
	echo "$d"
done | xargs -P "$JOBS" -I{} sh -c \
	"timeout 300 $BUILD/drive/{} 1 $RUNS >$BUILD/drive/{}.log ||
	{ echo 'RED     {}: fails without a mutant'; exit 1; }" || exit 1
rows=$(cat fuzz/mutants/*.txt | grep -Ev '^(#|$)' | grep "^${ONLY:-}")
out=$(printf '%s\n' "$rows" |
	xargs -d '\n' -n 1 -P "$JOBS" sh scripts/mutant.sh | sort)
printf '%s\n' "$out"
caught=$(printf '%s\n' "$out" | grep -c '^caught')
all=$(printf '%s\n' "$rows" | grep -c .)
echo "$caught of $all mutants caught"
[ "$caught" -eq "$all" ]
