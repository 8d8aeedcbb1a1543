#!/bin/sh
# vary-site.sh SITE.toml OUT_DIR: writes deployments that differ from a given
# one in one matter each: bounds halved and doubled, hosts, workers, racks,
# the log's rates, regions. For hunts on deployments that nobody has seen.
set -eu
site=$1
out=$2
base=$(basename "$site" .toml)
mkdir -p "$out"

# vary NAME SED-EXPRESSION...
vary() {
	name=$1
	shift
	sed "$@" "$site" >"$out/$base-$name.toml"
	cmp -s "$site" "$out/$base-$name.toml" &&
		echo "vary-site: $name changes nothing" >&2
	for f in "$(dirname "$site")/$base.days" "$(dirname "$site")/wire.json"; do
		[ -f "$f" ] && cp "$f" "$out/" && chmod u+w "$out/$(basename "$f")"
	done
	return 0
}

# A key of a section's own line, times a factor in percent.
scale() {
	key=$1
	percent=$2
	value=$(sed -n "s/^$key = \([0-9.]*\)$/\1/p" "$site" | head -n 1)
	digits=0
	case $value in *.*) digits=3 ;; esac
	echo "s/^$key = .*/$key = $(echo "scale=$digits; $value * $percent / 100" |
		bc | sed 's/^\./0./')/"
}

for p in 50 200; do
	vary "hold$p" -e "$(scale hold_max_ms $p)"
	vary "stop$p" -e "$(scale stop_ms $p)"
	vary "gang$p" -e "$(scale gang_ms $p)"
	vary "cancel$p" -e "$(scale cancel_ms $p)"
	vary "drain$p" -e "$(scale drain_ms $p)"
	vary "config$p" -e "$(scale config_ms $p)"
	vary "beat$p" -e "$(scale beat_ms $p)"
	vary "reclaim$p" -e "$(scale reclaim_ms $p)"
	vary "grace$p" -e "$(scale grace_s $p)"
	vary "save$p" -e "$(scale save_s $p)"
	vary "rates$p" -e "$(scale writes_per_s $p)" -e "$(scale reads_per_s $p)"
	vary "append$p" -e "$(scale append_ms $p)"
	vary "region$p" -e "$(scale cross_region_ms $p)"
done
vary unguarded -e 's/guards = true/guards = false/'
vary unfenced -e 's/^fenced = true/fenced = false/' -e 's/^strict = true/strict = false/'
vary three-hosts -e 's/\(class = "front".*\)count = [0-9]*/\1count = 1/'
vary many-hosts -e 's/\(class = "front".*\)count = [0-9]*/\1count = 6/'
vary small-hosts -e 's/cpu_share = [0-9.]*/cpu_share = 0.1/' \
	-e 's/memory_mb = [0-9]*/memory_mb = 64/'
vary racks4 -e 's/rack = 8/rack = 4/'
vary racks16 -e 's/rack = 8/rack = 16/'
vary far3 -e 's/^far_x = .*/far_x = 6.0/'
