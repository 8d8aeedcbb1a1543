#!/usr/bin/env bash
# Stops a host under load and checks that no request is cut off; prints TAP.
set -u
BUILD=${BUILD:-build/asan}
PORT=${PORT:-23600}
. scripts/cluster.sh
. scripts/tap.sh
CLIENTS=8
AUTH="Authorization: Bearer rocio-token"

same() { cmp "$DIR/big" "$DIR/back" || head -c 400 "$DIR/back"; cmp -s "$DIR/big" "$DIR/back"; }

# client N: sends requests to host 2 while its readiness check succeeds, as a load
# balancer would, and records every answer in a file.
client() {
	local i=0
	while curl -sf -o /dev/null -m 5 "$(callers_url 2)/ready"; do
		i=$((i + 1))
		curl -s -m 20 -o "$DIR/body.$1" -w "%{exitcode} %{http_code}\n" \
			-H "$AUTH" -H "X-Work-Ms: 50" -d "client $1 n $i" \
			"$(callers_url 2)/load" >>"$DIR/answers.$1"
		[ "$(cat "$DIR/body.$1")" = "client $1 n $i" ] ||
			cat "$DIR/body.$1" >>"$DIR/wrong.$1"
	done
}
answered() { cat "$DIR"/answers.* 2>/dev/null | wc -l; }
busy() { [ "$(curl -sf "$PLATFORM/v1/state" | jq '[.hosts[].busy // 0] | add')" -gt "$1" ]; }
exited() { ! kill -0 "$HOST2" 2>/dev/null; }

start_platform
for i in 1 2; do start_host $i; done
wait_for 300 "ready 1 && ready 2" || { echo "Bail out! not ready"; exit 1; }
hash=$("$BUILD/ffl" token-hash rocio-token)
wait_for 50 'change customer name=rocio token_hash=$hash reason=test' ||
	{ echo "Bail out! no customer"; exit 1; }
wait_for 100 '[ "$(curl -s -H "$AUTH" -d up "$(callers_url 2)/x")" = up ]'

clients=""
for i in $(seq $CLIENTS); do
	client "$i" &
	clients="$clients $!"
done
check "load is running" wait_for 200 '[ "$(answered)" -gt 50 ]'
# One long request and one slow upload are open when the host is told to stop.
(curl -s -m 30 -H "$AUTH" -H "X-Work-Ms: 1500" -d "long one" \
	-w ' %{http_code}' "$(callers_url 2)/long" >"$DIR/long") &
long=$!
head -c 400000 /dev/urandom >"$DIR/big"
(curl -s -m 30 -H "$AUTH" --limit-rate 300k -T "$DIR/big" \
	-o "$DIR/back" "$(callers_url 2)/upload") &
upload=$!
wait_for 50 'busy 1'
kill -TERM "$HOST2"
check "the host becomes unready first" wait_for 20 '! ready 2'
check "the host runs on while requests are open" kill -0 "$HOST2"
wait $long $upload $clients
check "the long request is complete" test "$(cat "$DIR/long")" = "long one 200"
check "the upload is complete" same
check "every client got only complete answers of its own" bash -c \
	"! cat $DIR/answers.* | grep -v '^0 200$' && ! ls $DIR/wrong.* 2>/dev/null"
wait "$HOST2"
status=$?
[ $status = 0 ] || { echo "# status $status"; tail -c 1500 "$DIR/host2.log" | sed 's/^/# /'; }
check "exit status 0" test $status = 0
check "stopped was logged, and nothing was cut" bash -c \
	"grep -q '\"stopped\"' $DIR/host2.log && ! grep -q 'were cut' $DIR/host2.log"
check "the other host still answers" bash -c \
	"[ \"\$(curl -s -H '$AUTH' -d still $(callers_url 1)/x)\" = still ]"

# A second signal ends the stop early; the host logs how many requests were cut
# off.
start_host 2
wait_for 300 "ready 2"
wait_for 100 '[ "$(curl -s -H "$AUTH" -d up "$(callers_url 2)/x")" = up ]'
(curl -s -m 30 -H "$AUTH" -H "X-Work-Ms: 20000" -d cut \
	-w ' %{http_code}' "$(callers_url 2)/cut" >"$DIR/cut") &
cut=$!
wait_for 50 'busy 0'
kill -TERM "$HOST2"
wait_for 30 '! ready 2'
kill -TERM "$HOST2"
check "a second signal ends it soon" wait_for 100 exited
wait "$HOST2"
check "its exit status is 0" test $? = 0
check "it logs how many requests were cut" grep -q "1 requests were cut" "$DIR/host2.log"
wait $cut
check "the cut caller is told that the outcome is unknown" \
	grep -q '"ran":"unknown"' "$DIR/cut"
echo "1..$N"
