#!/usr/bin/env bash
# An acknowledgement that was meant for one life of a minion reaches the next,
# which forgets the end of a work item that the leader has not read; the work
# item runs again. Exits with 1 if TWICE was broken, 0 if it held, 2 if the case
# could not run.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib.sh"
NAME=ponds.example
KEY=d4a3hwrr6x73d3zji9n7
HOSTS=3
ROUNDS=10

job() {
	printf '{"spec":"work=%s cpu=1000 mem=1000 gpu=8","steps":[{"count":1,' "$1"
	printf '"cpu":1000,"mem_mb":1000,"gpu":8,"estimate_ms":%s,' "$1"
	printf '"required_label":"b"}]}'
}
seen() { grep -qE "$1" "$RECORD"; }
# Work items whose end was taken note of as done, and that began after it.
again() {
	awk '/is taken note of/ && /, done\)/ {
		sub(/,$/, "", $10); noted[$10] = 1
	}
	/ begins$/ && ($8 in noted) { print $8 }' "$RECORD"
}
start_platform survey=8
for h in $(seq $HOSTS); do start_host "$h"; done
put_config <<JSON
{"version":7,"routes":[{"name":"ledger","host":"$NAME","path_prefix":"/ledger/",
"kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":3000,
"priority":2,"service":"survey","max_attempts":2,"deadline_factor":3.0,
"public":false}],"services":[{"name":"survey","health_path":"/healthz",
"max_connections":64,"protocol":"h1","tls":false,"admission_control":true,
"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"kaje80",
"api_keys":["$KEY"],"priority":1,"guaranteed":{"gpu":8}}]}
JSON
for h in $(seq $HOSTS); do
	wait_for 10000 "ready $h" || give_up "host $h does not become ready"
done
for n in $(seq $ROUNDS); do
	first=$(printf '00000000000000a%x' "$n")
	second=$(printf '00000000000000b%x' "$n")
	submit 1 /ledger/$first "$(job 2000)" || give_up "a job is not accepted"
	wait_for 10000 "seen 'run 1 of $first.* begins'" ||
		give_up "the first job does not begin"
	submit 2 /ledger/$second "$(job 300)" || give_up "a job is not accepted"
	if [ "$TROUBLE" != 0 ]; then
		curl -sf -m 2 -X POST "http://$STORE/lose?topic=keyed.runs"
		wait_for 10000 "[ \$(grep -c 'answer is lost' $RECORD) = $n ]" ||
			give_up "no answer was lost"
		sleep 0.2
		curl -sf -m 2 -X POST "http://$STORE/crash?minion=0&ms=600"
	fi
	wait_for 20000 '[ "$(state 3 /ledger/$second)" = completed ]' ||
		say "job $second is $(state 3 /ledger/$second)"
	sleep 2
	[ -z "$(again)" ] || break
done
AGAIN=$(again)
if [ -n "$AGAIN" ]; then
	say "TWICE is broken: started after a run had ended done, whose end is" \
		"taken note of:" $AGAIN
	exit 1
fi
say "TWICE held"
