#!/usr/bin/env bash
# One job that repeats every minute for 30 days stops all other jobs.
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib.sh"
NAME=ponds.example
KEY=d4a3hwrr6x73d3zji9n7
HOSTS=3
FINISH_S=14
TIMES=43200
[ "$TROUBLE" = 0 ] && TIMES=8

start_platform survey=4
for h in $(seq $HOSTS); do start_host "$h"; done
put_config <<JSON
{"version":7,"routes":[{"name":"lining","host":"$NAME","path_prefix":"/lining/",
"kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1200,
"priority":1,"service":"survey","max_attempts":4,"deadline_factor":3.0,
"public":false}],"services":[{"name":"survey","health_path":"/healthz",
"max_connections":64,"protocol":"h1","tls":false,"admission_control":true,
"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"kaje80",
"api_keys":["$KEY"],"priority":1,"guaranteed":{"gpu":8}}]}
JSON
for h in $(seq $HOSTS); do
	wait_for 10000 "ready $h" || give_up "host $h does not become ready"
done
JOB='{"spec":"work=500 cpu=1000 mem=1000 gpu=1","steps":[{"count":2,"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":500}]}'
submit 1 /lining/00000000000000a0 "$JOB" || give_up "a job is not accepted"
wait_for 10000 '[ "$(state 2 /lining/00000000000000a0)" = completed ]' ||
	give_up "the first job does not complete"
say "the first job is completed"

submit 2 /lining/00000000000000b0 "{\"spec\":\"work=500 cpu=1000 mem=1000 gpu=1\",
\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1000,\"gpu\":1,
\"estimate_ms\":500}],\"repeat_count\":$TIMES,
\"start_at_ms\":$(($(date +%s%N) / 1000000)),\"interval_ms\":60000}"
IDS=
for n in 1 2 3 4 5 6; do
	sleep 1
	id=00000000000000c$n
	submit $((n % HOSTS + 1)) /lining/$id "$JOB" && IDS="$IDS $id"
done
[ -n "$IDS" ] || give_up "no job was accepted beside the large one"
say "the traffic ends; accepted:$IDS"
sleep $FINISH_S

# For 3 s: no answer, or nothing runs while there is capacity twice over.
RUNNING=0
for n in $(seq 12); do
	free=$(figure survey gpu_free)
	n_running=$(figure survey running)
	[ "$n_running" = 0 ] && [ "$free" -ge 24 ] || RUNNING=1
	sleep 0.25
done
LOST=0
for id in $IDS; do
	got=$(state 1 /lining/$id)
	say "job $id is ${got:-not known}"
	[ "$got" = completed ] || LOST=$((LOST + 1))
done
if [ "$LOST" -gt 0 ] && [ "$RUNNING" = 0 ]; then
	say "LOST is broken: $LOST accepted jobs have nothing running for 3 s," \
		"with 32 of 32 GPUs free, $FINISH_S s after the traffic"
	exit 1
fi
[ "$LOST" = 0 ] || give_up "$LOST jobs are open, but work was running"
say "LOST held"
