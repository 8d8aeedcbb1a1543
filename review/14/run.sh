#!/usr/bin/env bash
# A queue's advice takes longer than before: a job that was accepted never runs.
. "$(dirname "$0")/../lib-3.sh"

# config VERSION DECIDE_MS PERIOD_MS
config() {
	site POST /x/advice "$2 $3" >/dev/null
	site POST /x/config '{"version":'"$1"',"routes":[
{"name":"fit","host":"ponds.example","path_prefix":"/fit/","kind":"non_idempotent","timeout_ms":3000,"service":"survey","priority":1,"max_attempts":4,"deadline_factor":3.0,"target_latency_ms":1200,"public":false,"advice":{"decide_ms":'"$2"',"period_ms":'"$3"',"valid_ms":3000}}],
"services":[{"name":"survey","health_path":"/healthz","max_connections":64,"protocol":"h1","tls":false,"admission_control":true,"standby":false}],
"tenants":[{"name":"ponds","api_keys":["k1"],"priority":1,"guaranteed":{"gpu":8}}]}' >/dev/null
}
JOB='{"spec":"work=1000 ticket","steps":[{"count":1,"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":1000}]}'
ended() { [ "$(call 1 GET "/fit/$1" | grep -c completed)" = 1 ]; }

start_site -m 48
config 3 20 10
start_hosts 1 2 3
call 1 POST /fit/00000000000000a1 "$JOB"
until_true 20 ended 00000000000000a1 || unable "the first job doesn't run"

if [ "$TROUBLE" = 1 ]; then
	config 8 200 100
	note "the configuration changes: advice takes 200 ms and 100 ms a minion"
	sleep 4
fi
call 2 POST /fit/00000000000000a2 "$JOB"
# finish_s after the last call, 3 s more, and then half a minute to see whether
# it ever runs.
sleep 17
started() { grep -q "00000000000000a2.* starts" "$CASE/record.txt"; }
started || breaks "LOST: 00000000000000a2 was accepted 17 s ago, nothing of it runs, and 48 minions are idle"
sleep 30
started || note "nor has it begun 47 s after"
call 3 GET /fit/00000000000000a2
verdict
