#!/bin/sh
# capacity.sh write: takes build/bench.jsonl into docs/ and rewrites the
# tables of docs/CAPACITY.md from it.
# capacity.sh check: fails where the page's tables are not those that
# docs/bench.jsonl gives.
set -eu
page=docs/CAPACITY.md
data=docs/bench.jsonl
[ "${1:-check}" = check ] || cp "${BUILD:-build}/bench.jsonl" "$data"
new=$(mktemp)
awk -v data="$data" '
	/^<!-- end / { skip = 0 }
	!skip { print }
	/^<!-- begin / {
		skip = 1
		cmd = "jq -rn --slurpfile b " data " --arg table " $3 \
			" -f scripts/capacity.jq"
		while ((cmd | getline row) > 0)
			print row
		if (close(cmd) != 0)
			exit 1
	}' "$page" >"$new"
if [ "${1:-check}" = check ]; then
	diff "$page" "$new" && rc=0 || rc=1
	rm -f "$new"
	exit $rc
fi
mv "$new" "$page"
