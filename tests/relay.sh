#!/usr/bin/env bash
# Relays requests with upstreams and callers that violate the protocol, stall or
# disconnect; prints TAP.
set -u
BUILD=${BUILD:-build/asan}
PORT=${PORT:-23300}
. scripts/cluster.sh
. scripts/tap.sh
trap '' PIPE


CALLER=$((PORT + 11))
URL=http://127.0.0.1:$CALLER
AUTH="Authorization: Bearer rocio-token"
call() { curl -s -m 20 -H "$AUTH" "$@"; }
runs() { curl -sf "$PLATFORM/v1/state" | jq '[.hosts[].runs // 0] | add'; }
# raw PORT TEXT: sends the bytes unchanged and prints the answer until the
# connection closes.
raw() {
	exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
	printf "$2" >&3
	timeout 15 cat <&3
	exec 3>&-
}

# refused TEXT PATTERN: the answer matches the pattern and nothing ran upstream.
refused() {
	local before after out
	before=$(runs)
	out=$(raw "$CALLER" "$1" | tr -d '\0')
	after=$(runs)
	echo "$out"
	echo "runs $before $after"
	echo "$out" | grep -q "$2" && [ "$before" = "$after" ]
}

# fails_with FAULT METHOD STATUS RAN RUNS: an upstream fault before the first
# byte of the answer was relayed gives this status, value of "ran" and number of runs.
fails_with() {
	local before out
	before=$(runs)
	out=$(call -X "$2" -H "X-Fault: $1" -w '\n%{http_code}' "$URL/f")
	echo "$out; runs $before $(runs)"
	[ "$(echo "$out" | tail -1)" = "$3" ] &&
		[ "$(echo "$out" | head -1 | jq -r .ran)" = "$4" ] &&
		[ $(($(runs) - before)) = "$5" ]
}

# answer_is_partial FAULT: an upstream fault after the first byte, which curl
# must report as a partial answer (exit status 18).
answer_is_partial() {
	call -o /dev/null -H "X-Fault: $1" "$URL/f"
	[ $? = 18 ]
}

fetch_request_head() { call -H "X-Tell-Head: 1" "$@"; }
has() { grep -q -- "$1" <<<"$2"; }
lacks() { ! grep -qi -- "$1" <<<"$2"; }

start_platform
start_host 1
wait_for 200 "ready 1" || { echo "Bail out! no entry host"; exit 1; }
hash=$("$BUILD/ffl" token-hash rocio-token)
change customer name=rocio token_hash="$hash" reason=test >"$DIR/out" ||
	{ cat "$DIR/out"; echo "Bail out! no customer"; exit 1; }
wait_for 100 '[ "$(curl -s -H "$AUTH" -d up $URL/x)" = up ]'

# Malformed requests, of which nothing may be forwarded.
H="Host: a\r\n$AUTH\r\n"
check "two lengths" refused \
	"POST /a HTTP/1.1\r\n${H}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd" bad-framing
check "length with chunked" refused \
	"POST /a HTTP/1.1\r\n${H}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" bad-framing
check "unknown transfer encoding" refused \
	"POST /a HTTP/1.1\r\n${H}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" "400\|501"
check "signed length" refused \
	"POST /a HTTP/1.1\r\n${H}Content-Length: +3\r\n\r\nabc" "400\|411"
check "bad chunk size" refused \
	"POST /a HTTP/1.1\r\n${H}Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n" "body-truncated"
check "chunked without its last chunk" refused \
	"POST /a HTTP/1.1\r\n${H}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n" "body-too-slow\|body-truncated"
check "body shorter than its length" refused \
	"POST /a HTTP/1.1\r\n${H}Content-Length: 10\r\n\r\nabc" "body-too-slow\|body-truncated"
check "folded header" refused \
	"POST /a HTTP/1.1\r\n${H}X-A: b\r\n Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc" "bad-header\|bad-request"
check "space before the colon" refused \
	"POST /a HTTP/1.1\r\n${H}Content-Length : 3\r\n\r\nabc" "bad-header\|bad-request"
check "NUL in a header" refused \
	"GET /a HTTP/1.1\r\n${H}X-A: b\\000c\r\n\r\n" "400"
check "header flood" refused \
	"GET /a HTTP/1.1\r\n${H}$(for i in $(seq 100); do printf 'X-%d: 1\\r\\n' "$i"; done)\r\n" "headers-too-large\|400\|431"
counter() { curl -s "$URL/metrics" | awk "/^ffl_$1 /{print \$2}"; }
# dropped COUNTER TEXT: the connection is reset or closed without an answer, and
# counted; nothing ran upstream.
dropped() {
	local before=$(counter "$1") ran=$(runs)
	raw "$CALLER" "$2"
	wait_for 20 '[ "$(counter '"$1"')" -gt '"$before"' ]' &&
		[ "$(runs)" = "$ran" ]
}
check "target at another host" dropped connections_unused_total \
	"GET http://127.0.0.1:$PORT/v1/state HTTP/1.1\r\n${H}\r\n"
check "one huge header" dropped connections_unused_total \
	"GET /a HTTP/1.1\r\n${H}X-A: $(head -c 100000 /dev/zero | tr '\0' a)\r\n\r\n"
check "CONNECT is not relayed" refused \
	"CONNECT a:80 HTTP/1.1\r\n${H}\r\n" "501\|400\|405"
check "not HTTP at all" refused "\001\002\003\004\r\n\r\n" "400\|bad-request"
check "timeout of zero" refused \
	"GET /a HTTP/1.1\r\n${H}Fireflyledge-Timeout-Ms: 0\r\n\r\n" '"field":"Fireflyledge-Timeout-Ms"'
check "unknown urgency" refused \
	"GET /a HTTP/1.1\r\n${H}Fireflyledge-Urgency: now\r\n\r\n" bad-urgency
check "malformed key" refused \
	"POST /a HTTP/1.1\r\n${H}Idempotency-Key: a b\r\nContent-Length: 0\r\n\r\n" bad-key
check "two keys" refused \
	"POST /a HTTP/1.1\r\n${H}Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n" bad-key
check "wrong token" refused \
	"GET /a HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer nobody\r\nConnection: close\r\n\r\n" "unknown-token\|401"
check "body over the limit" refused \
	"POST /a HTTP/1.1\r\n${H}Content-Length: 99999999999\r\n\r\n" body-too-large
check "garbage on the operators' port" bash -c \
	"exec 3<>/dev/tcp/127.0.0.1/$((PORT + 12)); printf '\001\r\n\r\n' >&3; timeout 15 cat <&3 | grep -q 400"
head -c 100000 /dev/urandom >"$DIR/noise"
check "garbage on the peers' port is dropped and counted" bash -c \
	"cat $DIR/noise >/dev/tcp/127.0.0.1/$((PORT + 13)); sleep 0.3;
	 curl -s $URL/metrics | grep -q '^ffl_frames_dropped_total [1-9]'"

# Faulty and unusual answers of the upstream, and what the caller gets.
check "POST, closed without an answer: once, unknown" fails_with close POST 502 unknown 1
for f in truncate oversize crossed two-lengths length-and-chunked no-length \
	chunk-cut bad-chunk garbage; do
	check "POST, $f: refused, ran once" fails_with $f POST 502 unknown 1
done
check "an answer cut in the middle has no clean end" answer_is_partial truncate-big
check "a chunked answer cut in the middle has no clean end" answer_is_partial chunk-cut-big
check "a redirect is passed on, not followed" bash -c \
	'[ "$(curl -s -o /dev/null -w "%{http_code} %{redirect_url}" -H "'"$AUTH"'" -H "X-Fault: redirect" '"$URL"'/r)" = "302 '"$URL"'/elsewhere" ]'

# A connection that a GET left open dies under a POST: it runs once.
once_on_reused() {
	local before
	call "$URL/warm" >/dev/null
	before=$(runs)
	call -X POST -d x -H "X-Fault: close" "$URL/once" >/dev/null
	echo "$before $(runs)"
	[ $(($(runs) - before)) = 1 ]
}
check "a POST after a GET is not repeated by the transport" once_on_reused

# Targets, headers and lengths that are relayed, and those that are dropped.
out=$(fetch_request_head --path-as-is -H "Connection: X-Drop" -H "X-Drop: 1" \
	-H "TE: trailers" -H "X-Keep: 1" -H "X-Empty;" -H "Accept:" -A "" \
	-H "Fireflyledge-Timeout-Ms: 4000" -H "Fireflyledge-Request-Id: mine-7" \
	"$URL/a/../b//c%2Fd%0d?q=%20&r=a/../b")
check "target with dots as it is" has "GET /a/../b//c%2Fd%0d?q=%20&r=a/../b" "$out"
check "header kept" has "X-Keep: 1" "$out"
check "empty header kept" has "X-Empty:" "$out"
check "header named in Connection dropped" lacks "X-Drop" "$out"
check "TE dropped" lacks "^TE:" "$out"
check "token not passed on" lacks "rocio-token" "$out"
check "no header added by the HTTP library" lacks "^\(Accept\|User-Agent\|Expect\):" "$out"
check "deadline carried and not longer" bash -c \
	"t=\$(echo '$out' | sed -n 's/^Fireflyledge-Timeout-Ms: //p'); [ \$t -gt 3000 ] && [ \$t -le 4000 ]"
check "the upstream gets an id of the host" lacks "mine-7" "$out"
out=$(call -D - -o /dev/null -H "Fireflyledge-Request-Id: mine-7" "$URL/i")
check "the caller's id comes back" has "Request-Id: mine-7" "$out"
check "hop-by-hop header of the answer dropped" lacks "X-Hop" "$out"
out=$(fetch_request_head -X POST -d "" "$URL/z")
check "POST of no bytes has its length" has "Content-Length: 0" "$out"
out=$(fetch_request_head -X DELETE "$URL/z")
check "DELETE without a body has none" lacks "Content-Length" "$out"
check "HEAD has the length and no body" bash -c \
	"curl -s -m 5 -I -H '$AUTH' -H 'X-Answer-Bytes: 77' $URL/h | grep -qi 'content-length: 77'"

if [ -n "${PROBE:-}" ]; then eval "$PROBE"; exit; fi
# Large bodies are streamed completely in both directions.
head -c 3000000 /dev/urandom >"$DIR/big"
same() { cmp "$DIR/big" "$DIR/back"; }
big() { call -o "$DIR/back" "$@" "$URL/big" && same; }
check "3 MB up and back, by length" big -X PUT -T "$DIR/big"
check "3 MB up and back, chunked" big -X PUT -H "Transfer-Encoding: chunked" -T "$DIR/big"
check "chunked answer of 5 MB" bash -c \
	"[ \$(curl -s -H '$AUTH' -H 'X-Answer-Bytes: 5000000' -H 'X-Answer-Chunked: 1' $URL/c | wc -c) = 5000000 ]"
check "a large body with a key is refused" bash -c \
	"curl -s -H '$AUTH' -H 'Idempotency-Key: k' -T $DIR/big $URL/k | grep -q keyed-body-too-large"
stops_early() {
	local before=$(runs)
	exec 3<>"/dev/tcp/127.0.0.1/$CALLER"
	printf "PUT /s HTTP/1.1\r\n${H}Content-Length: 3000000\r\n\r\n" >&3
	head -c 200000 "$DIR/big" >&3
	exec 3>&-
	wait_for 50 "curl -s $PLATFORM/v1/state | jq -e '[.hosts[].truncated // 0] | add > 0'" &&
		[ "$before" = "$(runs)" ]
}
check "a request cut off in its body runs nothing" stops_early

# When a caller disconnects, its attempt ends and its slot is released.
busy() { curl -sf "$PLATFORM/v1/state" | jq '[.hosts[].busy // 0] | add'; }
leaves() {
	curl -s -m 0.5 -H "$AUTH" -H "X-Work-Ms: 60000" "$URL/l" >/dev/null
	[ "$(call -d again -m 3 "$URL/l2")" = again ]
}
check "a caller that disconnects does not keep its slot" leaves

# Slow senders and half-open connections must not delay other callers.
slow() {
	local fds=() fd i before
	for i in $(seq 100); do
		exec {fd}<>"/dev/tcp/127.0.0.1/$CALLER"
		printf "POST /slow HTTP/1.1\r\n${H}Content-Length: 50\r\n\r\nx" >&"$fd"
		fds+=("$fd")
	done
	for i in 1 2 3 4 5; do
		[ "$(call -d quick -m 3 "$URL/q")" = quick ] || return 1
	done
	for fd in "${fds[@]}"; do exec {fd}>&-; done
}
check "a hundred slow bodies do not delay others" slow

# What arrives while the host is stopped has arrived in time.
stop_host() {
	sleep 0.3
	kill -STOP "$HOST1"
	sleep "$1"
	kill -CONT "$HOST1"
}
arrives_while_stopped() {
	call -H "X-Work-Ms: 600" -H "Fireflyledge-Timeout-Ms: 1500" \
		-H "X-Answer-Bytes: $1" -d x -o "$DIR/late" \
		-w '%{http_code} %{size_download}\n' "$URL/late" >"$DIR/late.code" &
	stop_host 2
	wait $!
	cat "$DIR/late.code"
	head -c 300 "$DIR/late" | tr -cd '[:print:]'
	[ "$(cat "$DIR/late.code")" = "200 $1" ]
}
append_is_known() {
	local before=$(counter appends_unknown_total) i
	for i in 1 2 3; do
		fault delay_ms=600
		change order name=rocio order=fair reason="late$i" &
		stop_host 3
		wait $!
		fault delay_ms=0
	done
	echo "unknown: $before $(counter appends_unknown_total)"
	[ "$(counter appends_unknown_total)" = "$before" ]
}
for bytes in 100 60000 100; do
	check "an answer of $bytes bytes that arrives while the host is stopped" \
		arrives_while_stopped $bytes
	wait_for 100 '[ "$(call -d up $URL/x)" = up ]'
done
check "the log's answers that arrive while the host is stopped" append_is_known
wait_for 100 '[ "$(call -d up $URL/x)" = up ]'

cleanup=$(curl -s "$URL/metrics" | grep -c "^ffl_")
check "the host still serves its metrics" test "$cleanup" -gt 20
echo "1..$N"
