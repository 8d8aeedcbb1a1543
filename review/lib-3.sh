# Sourced by the scripts of the third review: starts the stand-in and the entry
# hosts on loopback, and calls them. Needs bash and coreutils only.
CASE=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$CASE/../.." || exit 2
TROUBLE=${TROUBLE:-1}
DIR=$(mktemp -d) || exit 2
PIDS=()
finish() {
	local pid
	for pid in "${PIDS[@]}"; do kill -KILL "$pid"; done 2>/dev/null
	wait 2>/dev/null
	rm -rf "$DIR"
}
trap finish EXIT
unable() { echo "cannot run: $*" >&2; exit 2; }
[ -x target/ffl-jobd ] && [ -x target/review-standin-3 ] || unable "not built"

# A port that nobody listens at on any of the addresses in use.
free_port() {
	local p try
	for try in {1..50}; do
		p=$((20000 + RANDOM % 20000))
		for a in 127.0.3.1 127.0.3.10 127.0.4.1 127.0.4.2 127.0.4.3; do
			for q in $p $((p + 1)) $((p + 2)); do
				(exec 3<>"/dev/tcp/$a/$q") 2>/dev/null && continue 3
			done
		done
		echo "$p"
		return
	done
	unable "no free port"
}
PORT=$(free_port)

# http METHOD ADDRESS PATH [BODY [HEADER...]]: prints status and body.
http() {
	local method=$1 address=$2 path=$3 body=${4:-} out text
	shift 3
	[ $# -gt 0 ] && shift
	text="$method $path HTTP/1.1"$'\r\n'
	for h in "$@"; do text+="$h"$'\r\n'; done
	text+="Connection: close"$'\r\n'"Content-Type: application/json"$'\r\n'
	text+="Content-Length: ${#body}"$'\r\n\r\n'"$body"
	out=$(timeout 5 bash -c '
		exec 3<>"/dev/tcp/${1%:*}/${1#*:}" || exit 1
		printf "%s" "$2" >&3
		cat <&3' _ "$address" "$text" 2>/dev/null)
	printf '%s %s' "$(printf '%s' "$out" | head -n 1 | cut -d ' ' -f 2)" \
		"$(printf '%s' "$out" | tail -n 1)"
}
site() { http "$1" "127.0.3.1:$PORT" "$2" "${3:-}" "Host: 127.0.3.1:$PORT" | cut -d ' ' -f 2-; }
breaks() { site POST /x/break "$*" >/dev/null; }
note() { site POST /x/note "$*" >/dev/null; }

# call HOST METHOD PATH [BODY]: as a consumer; the record has it.
call() {
	local out
	note "host-$1 is sent $2 $3 ${4:-}"
	out=$(http "$2" "127.0.4.$1:$PORT" "$3" "${4:-}" "Host: ponds.example" \
		"Authorization: Bearer k1" "X-Deadline-Ms: 3000")
	note "host-$1 answers $2 $3 with $out"
	printf '%s' "$out"
}
# until_true SECONDS COMMAND: waits until it succeeds.
until_true() {
	local n=$(($1 * 10))
	shift
	while ((n-- > 0)); do
		"$@" && return 0
		sleep 0.1
	done
	return 1
}

# start_site ARGUMENTS
start_site() {
	target/review-standin-3 -p "$PORT" -r "$CASE/record.txt" "$@" &
	PIDS+=($!)
	until_true 5 alive || unable "the stand-in"
}
alive() { [ -n "$(site GET /x/broken)" ]; }
is_ready() { [ "$(http GET "127.0.4.$1:$((PORT + 1))" /-/readyz | cut -c 1-3)" = 200 ]; }

# start_host N: with the deploy file's command and settings as in its template.
start_host() {
	cat >"$DIR/host$1.ini" <<-END
		[host]
		name = host-$1
		data_centre = norte
		region = altiplano
		processor = 0.25core
		cores = 1
		link = 1000.0Mbit
		[listen]
		callers = 127.0.4.$1:$PORT
		ready = 127.0.4.$1:$((PORT + 1))
		metrics = 127.0.4.$1:$((PORT + 2))
		[log]
		address = 127.0.3.$1:$PORT
		record = 262144B
		append = 2097152B
		partitions = 12
		[adviser]
		address = 127.0.3.1:$PORT
		[bounds]
		heartbeat = 1500ms
		lease_max = 10000ms
		stop_max = 400ms
		gang_wait = 3000ms
		reclaim = 2900ms
		early = 250ms
		far_second = 3s
		config_apply = 2500ms
		config_skew = 5000ms
		keep_ended = 120s
		grace = 6s
	END
	target/ffl-jobd -c "$DIR/host$1.ini" >"$DIR/host$1.log" 2>&1 &
	HOST_PID[$1]=$!
	PIDS+=($!)
}
declare -A HOST_PID
start_hosts() {
	local n
	for n in "$@"; do start_host "$n"; done
	for n in "$@"; do until_true 15 is_ready "$n" || unable "host-$n isn't ready"; done
	until_true 5 leads || unable "no host leads"
	sleep 3
}
# The host that leads: the last one that began to, by the hosts' logs.
leader() {
	grep -h '"leader-began"' "$DIR"/host*.log | sort | tail -n 1 |
		sed 's/.*"host":"host-\([0-9]\)".*/\1/'
}
leads() { [ -n "$(leader)" ]; }
running() { [ "$(site GET /x/running)" = "$1" ]; }
# verdict: exits with 1 if the record has a broken rule.
verdict() {
	local n
	n=$(site GET /x/broken)
	[ -n "$n" ] || unable "the stand-in has ended"
	note "rules broken: $n"
	grep BROKEN "$CASE/record.txt"
	[ "$n" = 0 ]
	exit
}
