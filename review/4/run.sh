#!/usr/bin/env bash
# A caller without a key, on a public queue, cancels another customer's job.
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib.sh"
NAME=ponds.example
KEY=d4a3hwrr6x73d3zji9n7
HOSTS=3
ID=0000000000000001

route() {
	printf '{"name":"%s","host":"%s","path_prefix":"/%s/",' "$1" $NAME "$1"
	printf '"kind":"non_idempotent","timeout_ms":3000,"priority":2,'
	printf '"target_latency_ms":3000,"service":"survey","max_attempts":2,'
	printf '"deadline_factor":3.0,"public":%s}' "$2"
}
# The caller of the public queue sends no key and leaves after 1 ms.
leave_early() {
	curl -s -o /dev/null -m 0.001 -X POST -H "Host: $NAME" \
		-H 'X-Deadline-Ms: 3000' -d "$1" \
		"http://127.0.0.1:$((PORT + 12))/open/$ID"
}
public_call() {
	curl -s -m 3 -w ' %{http_code}' -X "$1" -H "Host: $NAME" \
		-H 'X-Deadline-Ms: 3000' \
		"http://127.0.0.1:$((PORT + 12))/open/$ID"
}
start_platform survey=2
for h in $(seq $HOSTS); do start_host "$h"; done
put_config <<JSON
{"version":7,"routes":[$(route ledger false),$(route open true)],
"services":[{"name":"survey","health_path":"/healthz","max_connections":64,
"protocol":"h1","tls":false,"admission_control":true,"standby":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"kaje80",
"api_keys":["$KEY"],"priority":1,"guaranteed":{"gpu":8}}]}
JSON
for h in $(seq $HOSTS); do
	wait_for 10000 "ready $h" || give_up "host $h does not become ready"
done
MINE='{"spec":"work=8000 cpu=1000 mem=1000 gpu=1","steps":[{"count":2,"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":8000}]}'
THEIRS='{"spec":"work=300 cpu=500 mem=500 gpu=0","steps":[{"count":1,"cpu":500,"mem_mb":500,"estimate_ms":300}]}'
submit 1 /ledger/$ID "$MINE" || give_up "the job is not accepted"
wait_for 10000 '[ "$(state 1 /ledger/$ID)" = running ]' ||
	give_up "the job does not run"
say "the job of kaje80 runs"
if [ "$TROUBLE" != 0 ]; then
	leave_early "$THEIRS"
	say "POST /open/$ID without a key: the caller leaves before the answer"
	say "GET /open/$ID without a key: $(public_call GET)"
	say "DELETE /open/$ID without a key: $(public_call DELETE)"
fi
# kaje80 has cancelled nothing, and asks until its job is over.
for n in $(seq 40); do
	got=$(state 3 /ledger/$ID)
	case $got in
	cancelled | failed | completed) break ;;
	esac
	sleep 0.5
done
say "GET /ledger/$ID with the key of kaje80: ${got:-no answer}"
case $got in
cancelled | failed)
	say "LOST is broken: the job of kaje80 is shown as $got without cause"
	exit 1
	;;
completed) say "LOST held" ;;
*) give_up "the job did not end" ;;
esac
