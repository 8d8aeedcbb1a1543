#!/bin/sh
# Line coverage of the decision code by the unit tables and the fuzz targets
# with seeded input. Prints a row a directory and the total.
set -eu
RUNS=${RUNS:-60}
B=build/cov
make -s -j BUILD=$B CFLAGS="-O0 -g --coverage" SAN="--coverage" tests drivers
find $B -name '*.gcda' -delete
for t in $B/tests/*_test; do
	"$t" >/dev/null
done
for d in $B/drive/*; do
	[ -x "$d" ] && "$d" 1 "$RUNS"
done
for dir in config member fleet gang request host; do
	for f in lib/$dir/*.c; do
		gcov -n -o "$B/lib/$dir" "$f" 2>/dev/null |
			awk -v f="$f" -v d="$dir" '
			/^File/ { hit = index($0, "\047" f "\047") }
			/^Lines executed/ && hit {
				split($2, a, "[:%]"); n = $4
				printf "%s %s %.1f %d\n", d, f, a[2], n
				hit = 0
			}'
	done
done | awk '
	{ lines[$1] += $4; run[$1] += $3 * $4 / 100
	  all += $4; allrun += $3 * $4 / 100
	  if ($3 < 70) low = low sprintf("  low  %-34s %5.1f%%\n", $2, $3) }
	END { for (d in lines)
		printf "%-10s %6d lines  %5.1f%%\n", d, lines[d],
			100 * run[d] / lines[d]
	  printf "%s", low
	  pct = 100 * allrun / all
	  printf "decision code %d lines  %.1f%%  (target 85%%)\n", all, pct
	  exit pct < 85 }'
