#!/usr/bin/env bash
# A work item that lasts fails by its own fault 0.2 s after its start, and is
# not started again for long.
. "$(dirname "$0")/../lib-3.sh"

start_site -m 4 -l b
site POST /x/config '{"version":3,"routes":[
{"name":"ledger","host":"ponds.example","path_prefix":"/ledger/","kind":"non_idempotent","timeout_ms":3000,"service":"survey","priority":2,"max_attempts":2,"deadline_factor":3.0,"target_latency_ms":3000,"public":false}],
"services":[{"name":"survey","health_path":"/healthz","max_connections":64,"protocol":"h1","tls":false,"admission_control":true,"standby":false}],
"tenants":[{"name":"ponds","api_keys":["k1"],"priority":1,"guaranteed":{"gpu":8}}]}' >/dev/null
start_hosts 1 2 3

FAIL=
[ "$TROUBLE" = 1 ] && FAIL=" fail=1,200"
call 1 POST /ledger/00000000000000a1 '{"spec":"lasts gpu=1'"$FAIL"'","steps":[{"count":1,"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":1000,"long_running":true,"required_label":"b"}]}'
until_true 10 running 1 || unable "the lasting work doesn't start"
sleep 14
call 2 GET /ledger/00000000000000a1
verdict
