#!/bin/sh
# bench-compare.sh REV: builds REV beside, runs the benchmarks that both
# have, and prints the ratio of each figure, this tree over REV.
set -eu
rev=${1:?usage: make bench-compare BASE=rev}
dir=build/compare/$(git rev-parse --short "$rev")
if [ ! -d "$dir" ]; then
	mkdir -p "$dir"
	git archive "$rev" | tar -x -C "$dir"
fi
make -s -C "$dir" -j benches
make -s -j benches
: >build/compare/base.jsonl
: >build/compare/now.jsonl
for b in build/bench/*_bench; do
	old=$dir/build/bench/$(basename "$b")
	[ -x "$old" ] || continue
	"$old" >>build/compare/base.jsonl
	"$b" >>build/compare/now.jsonl
done
jq -rn --slurpfile a build/compare/base.jsonl \
	--slurpfile b build/compare/now.jsonl '
	def key: del(.value) | tojson;
	($a | map({(key): .value}) | add // {}) as $base |
	$b[] | select($base[key] != null and $base[key] != 0) |
	[.name, (.value / $base[key] * 1000 | round / 1000 | tostring),
	(del(.name, .value, .unit) | to_entries |
	map("\(.key)=\(.value)") | join(" "))] | @tsv' |
	awk -F'\t' '{ printf "%-34s %10s x  %s\n", $1, $2, $3 }'
