#!/usr/bin/env bash
# A config with a route or tenant whose name is long is never put in force.
# Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case could not run.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib.sh"
NAME=ponds.example
KEY=d4a3hwrr6x73d3zji9n7
DROPPED=3hh2b9wu3fexd9dnn2ct
HOSTS=3
APPLY_MS=2500
TOUCH_MS=3000
LONG=lining-wear-simulation-for-the-ponds-of-the-altiplano
[ "$TROUBLE" = 0 ] && LONG=lining-wear

route() {
	printf '{"name":"%s","host":"%s","path_prefix":"%s",' "$1" $NAME "$2"
	printf '"kind":"non_idempotent","timeout_ms":3000,"priority":2,'
	printf '"target_latency_ms":3000,"service":"survey","max_attempts":2,'
	printf '"deadline_factor":3.0,"public":false}'
}
# config VERSION ROUTES KEYS
config() {
	printf '{"version":%s,"routes":[%s],"services":[{"name":"survey",' \
		"$1" "$2"
	printf '"health_path":"/healthz","max_connections":64,"protocol":"h1",'
	printf '"tls":false,"admission_control":true,"standby":false}],'
	printf '"limits":{"max_header_bytes":16384,"max_body_bytes":262144,'
	printf '"header_timeout_ms":3000,"idle_timeout_ms":15000},'
	printf '"tenants":[{"name":"kaje80","api_keys":[%s],"priority":1,' "$3"
	printf '"guaranteed":{"gpu":8}}]}'
}
start_platform survey=2
for h in $(seq $HOSTS); do
	start_host "$h"
	[ "$h" = 3 ] && LAST=$HOST_PID
done
config 7 "$(route ledger /ledger/)" "\"$KEY\",\"$DROPPED\"" | put_config
for h in $(seq $HOSTS); do
	wait_for 10000 "ready $h" || give_up "host $h does not become ready"
done
sleep 3
say "GET /ledger/ with the key to be dropped: $(KEY=$DROPPED call GET 1 /ledger/)"

config 12 "$(route ledger /ledger/),$(route $LONG /lining/)" "\"$KEY\"" |
	put_config
say "version 12 is confirmed: the route $LONG (${#LONG} bytes) comes, a key goes"
sleep $(((APPLY_MS + TOUCH_MS) / 1000 + 2))
BROKEN=0
for h in $(seq $HOSTS); do
	ready "$h" >/dev/null || give_up "host $h is not ready"
	got=$(call GET "$h" /lining/)
	say "host $h, GET /lining/ (added): $got"
	case $got in
	404*) BROKEN=$((BROKEN + 1)) ;;
	200*) ;;
	*) give_up "an answer that tells nothing" ;;
	esac
	got=$(KEY=$DROPPED call GET "$h" /ledger/)
	say "host $h, GET /ledger/ with the dropped key: $got"
	case $got in
	200*) BROKEN=$((BROKEN + 1)) ;;
	401*) ;;
	*) give_up "an answer that tells nothing" ;;
	esac
done
# For the record only: what a host does that starts now.
kill -9 "$LAST"
start_host 3
wait_for 8000 "ready 3" && say "host 3 started anew and is ready" ||
	say "host 3 started anew: not ready after 8 s, GET /ledger/:" \
		"$(call GET 3 /ledger/)"
if [ $BROKEN -gt 0 ]; then
	say "CONFIG is broken: $BROKEN calls were handled as only version 7" \
		"allows, over $APPLY_MS ms after the confirmation of version 12"
	exit 1
fi
say "CONFIG held"
