#!/bin/sh
# Shows the main path with real processes on loopback, checking each step.
set -eu
. "$(dirname "$0")/cluster.sh"
PASSED=0
FAILED=0
SUMMARY=""
FFL="$BUILD/ffl"

# check TEXT COMMAND: one step of the summary.
check() {
	text=$1
	shift
	if eval "$@" >"$DIR/out" 2>&1; then
		PASSED=$((PASSED + 1))
		SUMMARY="$SUMMARY  ok      $text
"
		echo "ok: $text"
	else
		FAILED=$((FAILED + 1))
		SUMMARY="$SUMMARY  FAILED  $text
"
		echo "FAILED: $text"
		sed 's/^/    /' "$DIR/out"
		for log in "$DIR"/host*.log; do
			tail -n 15 "$log" | sed 's/^/    /'
		done
	fi
}

revision_of() { curl -sf -H "Authorization: Bearer $FFL_TOKEN" \
	"$(operators_url "$1")/v1/status" | jq .revision; }
everywhere() { for i in $1; do [ "$(revision_of "$i")" = "$2" ] ||
	return 1; done; }
leader() { "$FFL" --json status | jq -e '.cells[0].leader != ""'; }
job_state() { [ "$("$FFL" --json job "$1" | jq -r .state)" = "$2" ]; }
served() { curl -sf "$PLATFORM/v1/state" | jq ".hosts[\"$1\"].served"; }
starts() { curl -sf "$PLATFORM/v1/state" | jq ".hosts[\"$1\"].starts"; }

# Hosts of ffl-jobd, on the stand-in of the users' platform.
JOBD_JOB=00000000000000d1
jobd_port() { echo $((PORT + 300 + $1 * 10)); }
start_jobd() {
	cat >"$DIR/jobd$1.ini" <<INI
[host]
name = jobd-$1
data_centre = norte
region = altiplano
[listen]
callers = 127.0.0.1:$(jobd_port "$1")
ready = 127.0.0.1:$(($(jobd_port "$1") + 1))
metrics = 127.0.0.1:$(($(jobd_port "$1") + 2))
[log]
address = $SITE
INI
	"$BUILD/ffl-jobd" -c "$DIR/jobd$1.ini" >"$DIR/jobd$1.log" 2>&1 &
	PIDS="$PIDS $!"
}
jobd_ready() { curl -sf "http://127.0.0.1:$(($(jobd_port "$1") + 1))/"; }
jobd_call() {
	curl -sf -X "$2" -H 'Host: ponds.example' \
		-H 'Authorization: Bearer k1' ${3:+-d "$3"} \
		"http://127.0.0.1:$(jobd_port "$1")/lining/$JOBD_JOB"
}

echo "Starting the stand-in platform and three entry hosts."
start_platform
for i in 1 2 3; do start_host $i; done
check "three entry hosts are ready" \
	'wait_for 300 "ready 1 && ready 2 && ready 3"'
check "the cell altiplano-1 has a leader" 'wait_for 300 leader'

echo "An operator states intents, sees plans and confirms them."
hash=$("$FFL" token-hash rocio-token)
check "customer rocio is confirmed" 'change customer name=rocio \
	token_hash=$hash weight=2 reason="first customer"'
check "a guarantee of two 8-accelerator shapes is confirmed" \
	'change guarantee name=rocio dc=altiplano-1 count=2 accelerators=8 \
	adjacency=worker reason="survey models, contract 7"'
rev=$("$FFL" --json config | jq .revision)
check "every entry host has revision $rev" \
	'wait_for 300 "everywhere \"1 2 3\" $rev"'
check "a stale plan is rejected" '! "$FFL" confirm 999999 0'

echo "A caller submits a gang of 8 accelerators."
FFL_TOKEN=rocio-token
job=$("$FFL" --json submit name=liner-1 accelerators=8 adjacency=worker \
	payload=run_ms=700 | jq .id)
check "job $job runs whole and completes" \
	'wait_for 300 "job_state $job ended"'
check "its accelerators are one aligned block of one worker" \
	'"$FFL" --json job $job | jq -e ".end == \"done\""'
check "the same submission again is the same job" \
	'[ "$("$FFL" --json submit name=liner-1 accelerators=8 \
	adjacency=worker payload=run_ms=700 | jq .id)" = "$job" ]'

echo "A caller sends a request through an entry host."
check "the whole answer returns" '[ "$(curl -sf -d "reading 17" \
	-H "Authorization: Bearer rocio-token" $(callers_url 2)/readings)" \
	= "reading 17" ]'

echo "An upstream and a worker are set leaving."
fault leaving=altiplano-1-u0
FFL_TOKEN=$OPERATOR_TOKEN
check "draining a worker is confirmed" 'change drain \
	name=altiplano-1-w0 reason="power supply"'
seen_leaving() {
	for i in 1 2 3; do
		curl -sf -H "Authorization: Bearer $OPERATOR_TOKEN" \
			"$(operators_url $i)/v1/hosts" | jq -e 'map(select(
			(.name == "altiplano-1-u0" and .leaving) or
			(.name == "altiplano-1-w0" and .drained))) |
			length == 2' || return 1
	done
}
check "every entry host knows that both are leaving" \
	'wait_for 300 seen_leaving'
u0=$(served altiplano-1-u0)
w0=$(starts altiplano-1-w0)
FFL_TOKEN=rocio-token
for i in 1 2 3 4 5 6; do
	curl -sf -d x -H "Authorization: Bearer rocio-token" \
		"$(callers_url 1)/readings" >/dev/null || true
	"$FFL" --json submit name=after-$i accelerators=4 adjacency=worker \
		payload=run_ms=100 >/dev/null || true
done
idle() { [ "$("$FFL" --json jobs | jq length)" = 0 ]; }
check "later jobs complete elsewhere" 'wait_for 300 idle'
check "the leaving upstream served nothing new" \
	'[ "$(served altiplano-1-u0)" = "$u0" ]'
check "the drained worker started nothing new" \
	'[ "$(starts altiplano-1-w0)" = "$w0" ]'

echo "Entry host 1 is killed and a new one takes its place."
FFL_TOKEN=$OPERATOR_TOKEN
kill -9 "$HOST1"
wait "$HOST1" 2>/dev/null || true
start_host 1
check "the new host is ready" 'wait_for 300 "ready 1"'
rev=$(revision_of 2)
check "it has all that was confirmed" 'wait_for 300 "everywhere 1 $rev"'
check "the cell has a leader again" 'wait_for 300 leader'
FFL_TOKEN=rocio-token
job=$("$FFL" --json submit name=liner-2 accelerators=16 adjacency=rack \
	payload=run_ms=300 | jq .id)
check "job $job over two neighbouring workers completes" \
	'wait_for 300 "job_state $job ended"'

echo "Entry host 2 is stopped in good order."
kill -TERM "$HOST2"
check "it exits with status 0" 'wait "$HOST2"'

echo "Two hosts of ffl-jobd on a stand-in of the users' platform."
SITE=127.0.0.1:$((PORT + 300))
"$BUILD/ffl-site" -l "$SITE" -w 4 >"$DIR/site.log" 2>&1 &
PIDS="$PIDS $!"
wait_for 100 'curl -sf "http://$SITE/state"' >/dev/null
curl -sf -X POST "http://$SITE/config" -d '{"version":1,"routes":[{"name":
	"lining","host":"ponds.example","path_prefix":"/lining/","service":
	"survey","priority":1,"max_attempts":2,"deadline_factor":3}],"tenants":
	[{"name":"ponds","api_keys":["k1"],"guaranteed":{"gpu":8}}]}'
for i in 1 2; do start_jobd $i; done
check "both are ready" 'wait_for 100 "jobd_ready 1 && jobd_ready 2"'
check "a job of two steps is accepted" 'jobd_call 1 POST "{\"spec\":
	\"work=300\",\"steps\":[{\"count\":4,\"gpu\":1},{\"count\":1,
	\"depends_on\":[0]}]}"'
check "the other host shows it as completed" 'wait_for 100 \
	"jobd_call 2 GET | grep -q completed"'
check "its story is told from the logs of both" 'cat "$DIR"/jobd*.log |
	"$FFL" explain "$JOBD_JOB" | grep -q "job-ended.*completed"'

echo
echo "Summary"
printf '%s' "$SUMMARY"
echo "$PASSED passed, $FAILED failed"
[ "$FAILED" -eq 0 ]
