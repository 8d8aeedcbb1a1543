#!/usr/bin/env bash
# Runs ffl-jobd on a stand-in of the platform whose log has several partitions
# a topic; prints TAP.
BUILD=${BUILD:-build/asan}
PORT=${PORT:-18100}
. scripts/tap.sh
. scripts/hosts.sh
echo 1..7

JOB='{"spec":"work=200","steps":[{"count":2,"gpu":1,"cpu":1000}]}'
ids() { for i in $(seq "$1" "$2"); do printf "%016x\n" $((i * 40503)); done; }
all() {
	local want=$1 host=$2 id
	shift 2
	for id in "$@"; do [ "$(state "$host" "$id")" = "$want" ] || return 1; done
}
# Names of the specifications in a partition of the log.
specs() {
	curl -s "http://$SITE/-/log-newest?topic=keyed.jobs&part=$1" |
		jq -r '.items[].key | select(startswith("j"))'
}
restart() {
	local n
	for n in 1 2; do kill -9 "$(cat "$DIR/host$n.pid")"; done
	PARTITIONS=$1
	for n in 1 2; do start_host "$n"; done
	wait_for 100 "ready 1 && ready 2"
}

start_site 3
curl -sf -X POST "http://$SITE/config" -d '{"version":1,"routes":[
	{"name":"lining","host":"ponds.example","path_prefix":"/lining/",
	"service":"survey","priority":1,"max_attempts":2,"deadline_factor":3,
	"target_latency_ms":1000}],"tenants":[{"name":"ponds",
	"api_keys":["k1"],"guaranteed":{"gpu":8}}]}'
start_host 1
start_host 2
wait_for 100 "ready 1 && ready 2"
submit 1 "$(ids 1 1)" "$JOB" >/dev/null
ALL=$(ids 1 13 | tr '\n' ' ')
FIRST=$(ids 1 1)
check "a job is accepted and completes on one partition" \
	wait_for 100 "all completed 2 $FIRST"
check "hosts start with several partitions" restart 12
check "they spread jobs" wait_for 100 \
	'grep -l "jobs-spread.*partitions=4" "$DIR"/host[12].log | wc -l | grep -q 2'
for id in $(ids 2 13); do
	submit $((0x${id: -1} % 2 + 1)) "$id" "$JOB" >/dev/null
done
check "they complete, and each host reports this" wait_for 150 \
	"all completed 1 $ALL && all completed 2 $ALL"
check "they stand in all partitions" bash -c \
	"$(declare -f specs); SITE=$SITE
	for p in 0 1 2 3; do specs \$p | grep -q . || exit 1; done
	[ \$(for p in 0 1 2 3; do specs \$p; done | sort | uniq -d | wc -l) = 0 ]"
check "hosts that are told of fewer partitions start" restart 1
check "they know all jobs" wait_for 50 "all completed 1 $ALL"
