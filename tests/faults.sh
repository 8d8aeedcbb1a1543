#!/usr/bin/env bash
# Injects faults into a cluster of real processes and checks after each that the
# guarantees still hold; prints TAP.
set -u
BUILD=${BUILD:-build/asan}
PORT=${PORT:-23900}
MEMBERSHIP="lease = 2s
renew = 1s
expiry = 5s"
EXTRA="[requests]
max_timeout = 4s"
. scripts/cluster.sh
. scripts/tap.sh
ROCIO="Authorization: Bearer rocio-token"


op() { FFL_OPERATORS=$(operators_url "$1") "$BUILD/ffl" --json "${@:2}"; }
caller() { FFL_TOKEN=rocio-token FFL_CALLERS=$(callers_url "$1") \
	"$BUILD/ffl" --json "${@:2}"; }
revision() { op "$1" config | jq .revision; }
same_revision() { for i in 1 2 3; do [ "$(revision $i)" = "$1" ] || return 1; done; }
leader() { op "$1" status | jq -r '.cells[0].leader // ""'; }
has_leader() { [ -n "$(leader "$1")" ]; }
job_state() { [ "$(caller "$1" job "$2" | jq -r .state)" = "$3" ]; }
job_end() { caller "$1" job "$2" | jq -r '.end // ""'; }
submit() { caller "$1" submit name="$2" accelerators=8 adjacency=worker \
	payload=run_ms="$3" | jq .id; }
submitted() { job=$(submit "$1" "$2" "$3"); [ "$job" -gt 0 ] 2>/dev/null; }
answers() { [ "$(curl -s -m 2 -H "$ROCIO" -d hello "$(callers_url "$1")/x")" = hello ]; }
starts() { curl -sf "$PLATFORM/v1/state" | jq '[.hosts[].starts // 0] | add'; }
pid_of() { eval "echo \$HOST$1"; }
crash() { kill -9 "$(pid_of "$1")"; wait "$(pid_of "$1")" 2>/dev/null; }
all_ready() { ready 1 && ready 2 && ready 3; }

start_platform
for i in 1 2 3; do start_host $i; done
wait_for 400 all_ready || { echo "Bail out! not ready"; exit 1; }
wait_for 200 'has_leader 1'
hash=$("$BUILD/ffl" token-hash rocio-token)
wait_for 50 'change customer name=rocio token_hash=$hash weight=2 reason=test' ||
	{ echo "Bail out! no customer"; exit 1; }
wait_for 100 'answers 1 && answers 2 && answers 3'

# Each host is killed while a gang runs: the confirmed configuration is kept and
# the gang ends.
rev=$(revision 1)
for i in 1 2 3; do
	other=$((i % 3 + 1))
	wait_for 100 "submitted $other kill-$i 1500"
	before=$(starts)
	wait_for 100 '[ "$(starts)" -gt 0 ]'
	crash $i
	start_host $i
	check "host $i killed: its successor has the confirmed revision" \
		wait_for 200 "ready $i && [ \"\$(revision $i)\" = $rev ]"
	check "host $i killed: the gang completes" \
		wait_for 300 "job_state $other $job ended && [ \"\$(job_end $other $job)\" = done ]"
	check "host $i killed: another answers requests" wait_for 20 "answers $other"
	check "host $i killed: its successor answers requests" wait_for 60 "answers $i"
done

# The leader is paused for longer than its lease, then resumed.
wait_for 200 'has_leader 1'
l=$(leader 1); l=${l#entry-}
other=$((l % 3 + 1))
wait_for 100 "submitted $other pause-1 1000"
kill -STOP "$(pid_of "$l")"
check "leader paused: another leads" \
	wait_for 300 "has_leader $other && [ \"\$(leader $other)\" != entry-$l ]"
check "leader paused: the gang ends" wait_for 300 "job_state $other $job ended"
kill -CONT "$(pid_of "$l")"
check "leader resumed: it follows the new one" \
	wait_for 200 "[ \"\$(leader $l)\" = \"\$(leader $other)\" ] && [ \"\$(leader $l)\" != entry-$l ]"
check "leader resumed: it answers requests again" wait_for 100 "answers $l"

# While the log is down, requests are served and no change is confirmed.
rev=$(revision 1)
fault down=1
check "log out: requests are answered" wait_for 50 'answers 1 && answers 2 && answers 3'
check "log out: a change is not confirmed" bash -c "! $BUILD/ffl --operators $(operators_url 1) --json intent drain name=altiplano-1-w3 reason=out"
fault down=0
check "log back: every host has the same revision" \
	wait_for 200 "same_revision \"\$(revision 1)\" && [ \"\$(revision 1)\" -ge $rev ]"

# Answers of the log are lost after the append took effect: the retried change
# must be recorded once.
wait_for 100 'answers 1'
fault lose=3
check "lost answers: a change is confirmed" wait_for 5 \
	'change limit name=rocio rate_per_s=5000 burst=5000 reason=lost'
fault lose=0
check "lost answers: the change is recorded once" bash -c \
	"[ \$($BUILD/ffl --operators $(operators_url 1) --json history | jq '[.entries[] | select(.reason == \"lost\")] | length') = 1 ]"

# Every host is replaced in turn under load. Each request must get its complete
# answer or a refusal that says it did not run.
one() {
	local n=$1 h=$2 got
	got=$(curl -s -m 10 -o "$DIR/one" -H "$ROCIO" -d "mine $n" \
		-w '%{exitcode} %{http_code}' "$(callers_url "$h")/roll")
	if [ "$got" = "0 200" ] && [ "$(cat "$DIR/one")" = "mine $n" ]; then
		echo whole
	elif [ "$got" = "0 503" ] && [ "$(jq -r .ran "$DIR/one")" = no ]; then
		echo refused
	else
		echo "cut: $got $(head -c 300 "$DIR/one")"
	fi
}
load() {
	local n=0 h
	while [ ! -e "$DIR/stop" ]; do
		for h in 1 2 3; do
			n=$((n + 1))
			! ready $h >/dev/null || one "$n" "$h" >>"$DIR/roll"
		done
	done
}
rev=$(revision 1)
load &
loader=$!
for i in 1 2 3; do
	kill -TERM "$(pid_of $i)"
	wait "$(pid_of $i)"
	status=$?
	check "host $i replaced: its stop ends with status 0" test $status = 0
	start_host $i
	check "host $i replaced: ready with the confirmed revision" \
		wait_for 300 "ready $i && [ \"\$(revision $i)\" = $rev ]"
done
touch "$DIR/stop"
wait $loader
echo "# $(grep -c whole "$DIR/roll") whole, $(grep -c refused "$DIR/roll") refused"
check "all replaced: no request was cut off" bash -c \
	"! grep -v '^whole$\|^refused$' $DIR/roll && grep -q whole $DIR/roll"

# Two faults at once: the leader is killed while the log is down.
wait_for 300 'has_leader 1'
l=$(leader 1); l=${l#entry-}
other=$((l % 3 + 1))
fault down=1
crash "$l"
check "leader dead, log out: the others answer requests" wait_for 100 "answers $other"
fault down=0
start_host "$l"
check "both back: the hosts agree on one leader" \
	wait_for 400 "has_leader $other && [ \"\$(leader $l)\" = \"\$(leader $other)\" ]"
check "both back: revision kept" wait_for 100 "[ \"\$(revision $l)\" = $rev ]"
wait_for 100 "submitted $other both-1 300"
check "both back: a gang runs and ends" wait_for 300 "job_state $other $job ended"
echo "1..$N"
