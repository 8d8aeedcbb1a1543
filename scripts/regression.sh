#!/bin/sh
# regression.sh BENCH SYSTEM_DIR OUT_DIR [JOBS]: scores and hunts on the
# deployments that changes are held against. BENCH is the users' bench,
# SYSTEM_DIR the folder with their site files. Outputs go to OUT_DIR, one file a
# run; fails if a gate fails or a hunt finds a broken rule.
set -eu
bench=$1
system=$2
out=$3
jobs=${4:-3}
# Site and days of a hunt: 40, or 8 where it has 30 hosts or more.
sites="shifted/rocio-ops-now-grown:40 demands/selitermin-grown:40
demands/tararua-toll-grown:40 sites/rocio-ops:40 sites/bcrfo-ledge:40
further/canasta-quito:40 further-grown/canasta-quito-grown:8
large/rocio-ops-large:8 grown/rocio-ops-grown:8 grown/bcrfo-ledge-grown:8"
mkdir -p "$out"
failed=0
for entry in $sites; do
	site=${entry%:*}
	name=$(basename "$site")
	"$bench" score "$system/$site.toml" --jobs "$jobs" \
		--why "regression" >"$out/$name-score.txt" 2>&1 || failed=1
	grep -E '^score on|^GATE' "$out/$name-score.txt" || failed=1
	"$bench" hunt "$system/$site.toml" --days "${entry#*:}" \
		--jobs "$jobs" --why "regression" \
		>"$out/$name-hunt.txt" 2>&1 || failed=1
	tail -n 1 "$out/$name-hunt.txt"
done
exit $failed
