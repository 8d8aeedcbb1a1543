#!/bin/sh
# Draws the policy measures and the slopes of docs/bench.jsonl (or the file
# named) as SVG into docs/plots/. Needs jq and gnuplot.
set -eu
data=${1:-docs/bench.jsonl}
out=docs/plots
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
mkdir -p "$out"

# bars FILE TITLE UNIT JQ: the jq program gives rows [group, series, value].
bars() {
	jq -rs "$4" "$data" >"$tmp/rows" || return 0
	[ -s "$tmp/rows" ] || return 0
	awk -F'\t' '
		!($1 in g) { g[$1] = ++ng; gname[ng] = $1 }
		!($2 in s) { s[$2] = ++ns; sname[ns] = $2 }
		{ v[$1, $2] = $3 }
		END {
			printf "group"
			for (j = 1; j <= ns; j++) printf "\t%s", sname[j]
			print ""
			for (i = 1; i <= ng; i++) {
				printf "%s", gname[i]
				for (j = 1; j <= ns; j++)
					printf "\t%s", v[gname[i], sname[j]] + 0
				print ""
			}
		}' "$tmp/rows" >"$tmp/table"
	n=$(head -n 1 "$tmp/table" | awk -F'\t' '{ print NF }')
	gnuplot <<EOF
set terminal svg size 900,420 font "sans,11" background "white"
set output "$out/$1.svg"
set datafile separator "\t"
set title "$2" noenhanced
set ylabel "$3" noenhanced
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8 border -1
set boxwidth 0.9
set xtics rotate by -25 noenhanced
set key outside top noenhanced
set grid ytics
set yrange [0:*]
plot for [i=2:$n] "$tmp/table" using i:xtic(1) title columnheader(i)
EOF
	echo "$out/$1.svg"
}

# lines FILE TITLE XLABEL YLABEL JQ: rows [x, series, value].
lines() {
	jq -rs "$5" "$data" >"$tmp/rows" || return 0
	[ -s "$tmp/rows" ] || return 0
	plots=""
	for s in $(cut -f2 "$tmp/rows" | sort -u); do
		awk -F'\t' -v s="$s" '$2 == s' "$tmp/rows" | sort -n >"$tmp/$s"
		plots="$plots${plots:+, }\"$tmp/$s\" using 1:3 with linespoints title \"$s\" noenhanced"
	done
	gnuplot <<EOF
set terminal svg size 700,420 font "sans,11" background "white"
set output "$out/$1.svg"
set datafile separator "\t"
set title "$2" noenhanced
set xlabel "$3" noenhanced
set ylabel "$4" noenhanced
set logscale xy
set key left top noenhanced
set grid
plot $plots
EOF
	echo "$out/$1.svg"
}

policy_bars() {
	bars "$1" "$2" "$3" 'map(select(.name == "'"$4"'" and .mix)) | .[] |
		[.mix, .policy, .value] | @tsv'
}
policy_bars gang-completion "Mean completion time of jobs by mix" s completion_mean
policy_bars gang-large-wait "Wait of the largest tenth by mix" s largest_tenth_wait
policy_bars gang-fragmentation "Fragmentation by mix" share fragmentation
bars request-completion "Completion p95 of the normal class" ms \
	'map(select(.name == "request.completion" and .quantile == 0.95 and
	.group == "normal" and .site == "estanques")) | .[] |
	[.scenario, .policy, .value] | @tsv'
bars request-goodput "Goodput of the normal class" "1/s" \
	'map(select(.name == "request.goodput" and .group == "normal" and
	.site == "estanques")) | .[] | [.scenario, .policy, .value] | @tsv'
lines slopes-host "Cost of a host event" "size" us \
	'[.[] | select(.unit == "us" and (.name | startswith("host."))) |
	[(.workers // .members // .customers // .jobs // .changes),
	(.name | ltrimstr("host.")), .value]] | .[] | @tsv'
lines list-bytes "Bytes of one read of the list of hosts" hosts bytes \
	'[.[] | select(.name == "host_list.size") |
	[.hosts, .policy, .value]] | .[] | @tsv'
