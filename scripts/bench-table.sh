#!/bin/sh
# Prints JSON lines of benchmarks as an aligned table.
jq -r '[.name, (.value * 1000 | round / 1000 | tostring), .unit,
	(to_entries | map(select(.key != "name" and .key != "value" and
	.key != "unit") | "\(.key)=\(.value)") | join(" "))] | @tsv' |
	awk -F'\t' '{ printf "%-34s %14s %-8s %s\n", $1, $2, $3, $4 }'
