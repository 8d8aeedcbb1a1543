#!/usr/bin/env bash
# Runs ffl-jobd with a stand-in of the platform on loopback, over the published
# protocol of the platform; prints TAP.
BUILD=${BUILD:-build/asan}
PORT=${PORT:-17600}
. scripts/tap.sh
. scripts/hosts.sh
echo 1..41

leader() { grep -l leader-began "$DIR"/host*.log | tail -n 1 |
	sed 's/.*host\([0-9]\).log/\1/'; }
config() {
	curl -sf -X POST "http://$SITE/config" -d "{\"version\":$1,\"routes\":[
	{\"name\":\"lining\",\"host\":\"ponds.example\",
	\"path_prefix\":\"/lining/\",\"service\":\"survey\",\"priority\":1,
	\"max_attempts\":2,\"deadline_factor\":3,\"target_latency_ms\":1000}$2],
	\"tenants\":[{\"name\":\"ponds\",\"api_keys\":[\"k1\"],
	\"guaranteed\":{\"gpu\":8}}]}"
}
# Evacuates the data centre of all workers, or takes that back: an empty value.
evacuate() {
	printf "\\0\\0\\0\\x$(printf %x $((15 + ${#1})))\\x0eevacuate/norte%s" "$1" |
		curl -sf -X POST --data-binary @- \
			"http://$SITE/-/log-append?topic=keyed.op&part=0" >/dev/null
}
entry() { curl -sf -X POST "http://$SITE/entry?id=$1" --data-binary @-; }
odd_address() {
	entry "$1" <<JSON
{"service":"survey","address":"$2","zone":"norte","state":"ready",
"capacity":{"cpu":4000,"mem_mb":4000,"gpu":1},"labels":["a","r1"],
"clock_ms":9,"born":9}
JSON
}
# The list of workers has these until the end; the workers' own follow.
odd_entries() {
	head -c 200000 /dev/zero | tr '\0' '[' | entry odd-deep
	echo '{"capacity":{"gpu":99999999999999999999}}' | entry odd-large
	odd_address odd-port 127.0.1.1:99999
	odd_address odd-zero 127.0.1.1:0
	odd_address odd-name nowhere.example:80
	odd_address odd%20space%0D%0AX-Odd:1 "$SITE"
	odd_address odd-path "$SITE/x"
	head -c 200000 /dev/zero | entry w00
}
ODD_USED='worker=odd|"call-failed".*(nowhere|:99999|:0/|/x/)'
odd_seen() { grep -hE '"worker-unreadable"' "$DIR"/host*.log |
	jq .subject | sort -u | wc -l; }
echo '{"spec":"work=300","steps":[{"count":1,"gpu":1,"cpu":1000}]}' >"$DIR/job"
where() {
	local host=$1
	shift
	echo "$BUILD/ffl where /lining/00000000000000d1 --at 127.0.0.1:$((PORT + 30 + host))" \
		"--host ponds.example --key k1 --body $DIR/job $*"
}
# explain LISTENER QUESTION: at the leader's callers (1), ready (2) or metrics (3).
explain() {
	curl -s -o "$DIR/body" -w '%{http_code} ' -d "$2" \
		"http://127.0.0.1:$((PORT + 10 * $1 + L))/explain"
	jq -r .error "$DIR/body"
}
JOB='{"spec":"work=300","steps":[{"count":3,"gpu":1,"cpu":1000}]}'
LONG='{"spec":"work=20000","steps":[{"count":2,"gpu":1,"cpu":1000}]}'
FAILS='{"spec":"work=100 fails","steps":[{"count":1,"gpu":1}]}'

start_site 3
start_host 1
check "a host without a configuration is not ready" \
	bash -c "sleep 1; ! curl -sf $(ready_url 1)/-/readyz"
config 1 ''
start_host 2
check "two hosts are ready" wait_for 100 "ready 1 && ready 2"
check "an unknown key is refused" \
	[ "$(call GET 1 /lining/ -H 'Authorization: Bearer no')" = 401 ]
check "an unknown route is refused" \
	[ "$(call GET 1 /dew/ -H "$KEY")" = 404 ]
check "a job is accepted" [ "$(submit 1 00000000000000a1 "$JOB")" = 200 ]
check "it completes, and the other host reports this" wait_for 100 \
	'[ "$(state 2 00000000000000a1)" = completed ]'
check "submitting the same job again succeeds" \
	[ "$(submit 2 00000000000000a1 "$JOB")" = 200 ]
check "another job with its id is a conflict" \
	[ "$(submit 2 00000000000000a1 "$LONG")" = 409 ]
check "a malformed job is refused" \
	[ "$(submit 1 00000000000000a2 '{"steps":7}')" = 400 ]
check "a job that was never submitted is unknown" \
	[ "$(call GET 2 /lining/00000000000000ff -H "$KEY")" = 410 ]
check "metrics are served" bash -c \
	"curl -sf http://127.0.0.1:$((PORT + 31))/metrics |
	grep -q '^ffl_jobd_leading '"
check "histograms count calls by duration" bash -c \
	"cat <(curl -sf http://127.0.0.1:$((PORT + 31))/metrics) \
	<(curl -sf http://127.0.0.1:$((PORT + 32))/metrics) |
	grep -E '_count' | tee $DIR/counts |
	grep -q 'accept_ms_count{} [1-9]' &&
	grep -q 'queue_ms_count{priority=\"1\"} [1-9]' $DIR/counts &&
	grep -q 'store_ms_count{call=\"append\"} [1-9]' $DIR/counts &&
	grep -q 'order_ms_count{order=\"start\"} [1-9]' $DIR/counts"
check "ffl explain gives the history of a job from the hosts' logs" bash -c \
	"cat $DIR/host*.log | $BUILD/ffl explain 00000000000000a1 |
	grep -q 'job-ended.*state=completed'"
L=$(leader)
F=$((3 - L))
check "ffl where names the leader on a host that follows" bash -c \
	"$(where "$F") | grep '^leader  *host-$L: .*ask it'"
check "and on the leader the worker" bash -c \
	"$(where "$L") >$DIR/where && grep -q 'worker  *w0.*1 tasks' $DIR/where"
check "in JSON too, with the answer to the caller" bash -c \
	"$(where "$L" --json) | jq -e '.answer == \"accepted\" and
	.customer == \"ponds\" and .steps[0].workers[0].rack != \"\"'"
curl -s "http://$SITE/fault?kind=cold&n=60000" >/dev/null
check "workers that say that they are cold count as such" wait_for 100 \
	'curl -sf http://127.0.0.1:$((PORT + 30 + L))/metrics |
	grep -q "^ffl_jobd_workers_cold 3"'
check "ffl where names a cold worker as one" bash -c \
	"$(where "$L") | grep -Eq 'worker  *w0.*, cold for [1-9][0-9]* ms'"
curl -s "http://$SITE/fault?kind=cold&n=0" >/dev/null
check "they are warm when they say so" wait_for 100 \
	'grep -q worker-warm "$DIR/host$L.log" &&
	curl -sf http://127.0.0.1:$((PORT + 30 + L))/metrics |
	grep -q "^ffl_jobd_workers_cold 0"'
check "no job came of these questions" \
	[ "$(call GET "$L" /lining/00000000000000d1 -H "$KEY")" = 410 ]
submit "$L" 00000000000000d1 "$(cat "$DIR/job")" >/dev/null
check "the job starts on the worker that was named" wait_for 100 \
	'grep -h run-ordered "$DIR/host$L.log" | grep 00000000000000d1 |
	grep -q "worker=$(sed -n "s/^ *worker *\([^,]*\),.*/\1/p" "$DIR/where") "'
check "a question that cannot be read is refused" \
	[ "$(explain 3 '{"path":7}')" = "400 host and path must be strings, as a key" ]
check "questions are not answered to callers and probes" bash -c \
	"[ $(explain 1 "{}" | cut -c 1-3) = 404 ] && [ '$(explain 2 "{}")' = '200 null' ]"
submit 1 00000000000000a3 "$FAILS" >/dev/null
check "a job that always fails ends after its attempts" wait_for 100 \
	'[ "$(state 1 00000000000000a3)" = failed ]'
submit 1 00000000000000a4 "$LONG" >/dev/null
wait_for 100 '[ "$(state 1 00000000000000a4)" = running ]'
call DELETE 2 /lining/00000000000000a4 -H "$KEY" >/dev/null
check "a cancelled job is stopped" wait_for 100 \
	'[ "$(curl -s http://$SITE/state | jq .running)" = 0 ]'
submit 1 00000000000000a8 "${LONG/20000/60000}" >/dev/null
wait_for 100 '[ "$(state 1 00000000000000a8)" = running ]'
odd_entries
submit 1 00000000000000a9 "$JOB" >/dev/null
check "a job completes while odd entries are among those of the workers" \
	wait_for 100 '[ "$(state 2 00000000000000a9)" = completed ]'
check "odd entries are told of, and no order goes to their addresses" \
	wait_for 50 '[ "$(odd_seen)" = 8 ] &&
	! grep -E "$ODD_USED" "$DIR"/host*.log'
check "they end neither a run nor the hosts" bash -c \
	"kill -0 $(cat "$DIR/host1.pid") && kill -0 $(cat "$DIR/host2.pid") &&
	[ \$(curl -s http://$SITE/state | jq .running) = 2 ] &&
	! grep -E worker-restarted $DIR/host*.log"
call DELETE 2 /lining/00000000000000a8 -H "$KEY" >/dev/null
wait_for 100 '[ "$(curl -s http://$SITE/state | jq .running)" = 0 ]'
start_host 3 "[lines]
per_second = 1"
wait_for 100 "ready 3"
check "lines beyond the budget are counted in the next line" wait_for 50 \
	'call DELETE 3 /lining/00000000000000a1 -H "$KEY"; grep -q left_out "$DIR/host3.log"'
kill -TERM "$(cat "$DIR/host3.pid")"
curl -s "http://$SITE/fault?kind=slow&n=2400" >/dev/null
start_host 4
check "a host becomes ready although log reads are slow" \
	wait_for 100 "ready 4"
curl -s "http://$SITE/fault?kind=slow&n=0" >/dev/null
kill -TERM "$(cat "$DIR/host4.pid")"
L=$(leader)
submit "$L" 00000000000000b4 "$LONG" >/dev/null
wait_for 100 "[ \"\$(state $L 00000000000000b4)\" = running ]"
# Half a second after a pause its hold has been answered and the next one, which
# waits for 1 s, is open. The other host would take over meanwhile.
kill -STOP "$(cat "$DIR/host$((3 - L)).pid")"
for _ in 1 2 3 4 5 6; do
	kill -STOP "$(cat "$DIR/host$L.pid")"
	sleep 2
	kill -CONT "$(cat "$DIR/host$L.pid")"
	sleep 0.55
done
kill -CONT "$(cat "$DIR/host$((3 - L)).pid")"
check "answers that arrived in time count when the host reads them late" \
	bash -c "! grep -E 'call-failed.*hold.*after_ms=[2-9][0-9]{3}' $DIR/host$L.log"
call DELETE "$L" /lining/00000000000000b4 -H "$KEY" >/dev/null
wait_for 100 '[ "$(curl -s http://$SITE/state | jq .running)" = 0 ]'
config 2 ',{"name":"dew","host":"ponds.example","path_prefix":"/dew/","service":"survey"}'
check "a new route is in force on both hosts" wait_for 30 \
	'[ "$(call GET 1 /dew/ -H "$KEY")" = 200 ] &&
	[ "$(call GET 2 /dew/ -H "$KEY")" = 200 ]'
config 3 ',{"name":"fit","host":"ponds.example","path_prefix":"/fit/",
	"service":"survey","max_attempts":2,"deadline_factor":3,
	"advice":{"decide_ms":1,"period_ms":1,"valid_ms":3000}}'
wait_for 30 '[ "$(call GET 1 /fit/ -H "$KEY")" = 200 ]'
call POST 1 /fit/00000000000000b1 -H "$KEY" \
	-d '{"spec":"work=200 advised","steps":[{"count":3,"gpu":1}]}' >/dev/null
check "a job of an advised queue runs with its tickets" wait_for 100 \
	'[ "$(call GET 1 /fit/00000000000000b1 -H "$KEY"; jq -r .state \
	"$DIR/body")" = 200completed ]'
check "the adviser was asked once for its step" \
	[ "$(curl -s "http://$SITE/state" | jq .advised)" = 1 ]
submit 1 00000000000000c1 '{"spec":"work=2000","steps":[{"count":1,"gpu":1}]}' \
	>/dev/null
wait_for 100 '[ "$(curl -s http://$SITE/state | jq .running)" = 1 ]'
evacuate '{}'
wait_for 50 'grep -q evacuation-began "$DIR/host$(leader).log"'
submit 1 00000000000000c2 "$JOB" >/dev/null
check "what runs in an evacuated data centre goes on" wait_for 100 \
	'[ "$(state 1 00000000000000c1)" = completed ]'
check "nothing new has started there" \
	[ "$(state 1 00000000000000c2)" = queued ]
evacuate ''
check "it starts once the evacuation is taken back" wait_for 100 \
	'[ "$(state 1 00000000000000c2)" = completed ]'
curl -s "http://$SITE/fault?kind=lost&n=1" >/dev/null
check "a job is accepted though the log's answer is lost" \
	[ "$(submit 1 00000000000000a5 "$JOB")" = 200 ]
curl -s "http://$SITE/fault?kind=down" >/dev/null
check "nothing is accepted while the log is down" \
	[ "$(submit 1 00000000000000a6 "$JOB")" = 503 ]
curl -s "http://$SITE/fault?kind=up" >/dev/null
wait_for 100 "ready 1 && ready 2"
submit 1 00000000000000a7 "$JOB" >/dev/null
L=$(leader)
kill -9 "$(cat "$DIR/host$L.pid")"
check "the other host completes a job of a leader that died" wait_for 200 \
	"[ \"\$(state $((3 - L)) 00000000000000a7)\" = completed ]"
kill -TERM "$(cat "$DIR/host$((3 - L)).pid")"
check "a host that is told to stop exits" wait_for 100 \
	"! kill -0 $(cat "$DIR/host$((3 - L)).pid")"
