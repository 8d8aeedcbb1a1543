#!/usr/bin/env bash
# A burst of jobs for one service keeps the jobs of another service waiting,
# although that one is idle. Exits with 1 if LOST was broken, 0 if it held, 2 if
# the case could not run.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib.sh"
NAME=ponds.example
KEY=d4a3hwrr6x73d3zji9n7
HOSTS=3
FINISH_S=14
BURST=4
[ "$TROUBLE" = 0 ] && BURST=0

route() {
	printf '{"name":"%s","host":"%s","path_prefix":"/%s/",' "$1" $NAME "$1"
	printf '"kind":"non_idempotent","timeout_ms":3000,"priority":2,'
	printf '"target_latency_ms":3000,"service":"%s","max_attempts":2,' "$2"
	printf '"deadline_factor":3.0,"public":false}'
}
service() {
	printf '{"name":"%s","health_path":"/healthz","max_connections":64,' "$1"
	printf '"protocol":"h1","tls":false,"admission_control":true,'
	printf '"standby":false}'
}
start_platform survey=2 fitting=2
for h in $(seq $HOSTS); do start_host "$h"; done
put_config <<JSON
{"version":7,"routes":[$(route ledger survey),$(route armour fitting)],
"services":[$(service survey),$(service fitting)],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"kaje80",
"api_keys":["$KEY"],"priority":1,"guaranteed":{"gpu":0}}]}
JSON
for h in $(seq $HOSTS); do
	wait_for 10000 "ready $h" || give_up "host $h does not become ready"
done
# Eight work items of a GPU each: half of a service. They last.
LASTING='{"spec":"work=3600000 cpu=1000 mem=1000 gpu=1","steps":[{"count":8,"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":8000,"long_running":true}]}'
JOB='{"spec":"work=500 cpu=1000 mem=1000 gpu=1","steps":[{"count":2,"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":500}]}'
submit 1 /armour/00000000000000a0 "$JOB" || give_up "a job is not accepted"
wait_for 15000 '[ "$(state 2 /armour/00000000000000a0)" = completed ]' ||
	give_up "the first job does not complete"
say "the first job of fitting is completed"

for n in $(seq $BURST); do
	submit 1 /ledger/00000000000000b$n "$LASTING" ||
		give_up "a job of the burst is not accepted"
done
sleep 2
IDS=
for n in 1 2 3 4; do
	id=00000000000000c$n
	submit $((n % HOSTS + 1)) /armour/$id "$JOB" && IDS="$IDS $id"
done
[ -n "$IDS" ] || give_up "no job of fitting was accepted"
say "the traffic ends; accepted for fitting:$IDS"
sleep $FINISH_S

# For 3 s: nothing of fitting runs, and all of it is free.
IDLE=1
for n in $(seq 12); do
	[ "$(figure fitting running)" = 0 ] &&
		[ "$(figure fitting gpu_free)" = 16 ] || IDLE=0
	sleep 0.25
done
say "survey: $(figure survey running) run, $(figure survey gpu_free) of 16" \
	"GPUs free; fitting: $(figure fitting running) run," \
	"$(figure fitting gpu_free) of 16 GPUs free"
LOST=0
for id in $IDS; do
	got=$(state 1 /armour/$id)
	say "job $id of fitting is ${got:-not known}"
	[ "$got" = completed ] || LOST=$((LOST + 1))
done
if [ "$LOST" -gt 0 ] && [ "$IDLE" = 1 ]; then
	say "LOST is broken: $LOST accepted jobs have nothing running for 3 s" \
		"while their service is idle, $FINISH_S s after the traffic"
	exit 1
fi
[ "$LOST" = 0 ] || give_up "$LOST jobs are open, but work was running"
say "LOST held"
