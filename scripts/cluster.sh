# Functions that start the stand-in platform and three entry hosts on
# loopback. Sourced by the demo and the tests with real processes.
BUILD=${BUILD:-build}
DAEMON=${DAEMON:-$BUILD/fireflyledged}
PORT=${PORT:-7100}
DIR=$(mktemp -d)
PIDS=""
OPERATOR_TOKEN=demo-operator
FFL_TOKEN=$OPERATOR_TOKEN
FFL_OPERATORS=http://127.0.0.1:$((PORT + 12))
FFL_CALLERS=http://127.0.0.1:$((PORT + 11))
export FFL_TOKEN FFL_OPERATORS FFL_CALLERS
PLATFORM=http://127.0.0.1:$PORT

stop_all() {
	trap - EXIT INT TERM
	for p in $PIDS; do
		kill -9 "$p" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$DIR"
}
trap stop_all EXIT
trap 'exit 130' HUP INT PIPE TERM

# callers_url N and operators_url N: addresses of entry host N.
callers_url() { echo "http://127.0.0.1:$((PORT + $1 * 10 + 1))"; }
operators_url() { echo "http://127.0.0.1:$((PORT + $1 * 10 + 2))"; }

start_platform() {
	"$BUILD/ffl-platform" --listen=127.0.0.1:$PORT \
		--upstreams=$((PORT + 100)) --slots="${SLOTS:-8}" \
		--dc=altiplano-1:altiplano:4:2 --dc=oriente-1:oriente:2:1 \
		>"$DIR/platform.log" 2>&1 &
	PIDS="$PIDS $!"
	wait_for 50 "curl -sf $PLATFORM/v1/state"
}

# start_host N: writes the settings of entry host N and starts it.
start_host() {
	hash=$("$BUILD/ffl" token-hash "$OPERATOR_TOKEN")
	cat >"$DIR/host$1.ini" <<EOF
[host]
name = entry-$1
data_centre = altiplano-1
region = altiplano
cluster = 42
[listen]
callers = 127.0.0.1:$((PORT + $1 * 10 + 1))
operators = 127.0.0.1:$((PORT + $1 * 10 + 2))
peers = 127.0.0.1:$((PORT + $1 * 10 + 3))
body_timeout = 2s
threads = 256
[platform]
log = $PLATFORM
hosts = $PLATFORM
poll_hosts = 200ms
[stop]
delay = 200ms
[membership]
suspect = 1s
[operators]
bootstrap_token_hash = $hash
EOF
	"$DAEMON" --config="$DIR/host$1.ini" \
		2>>"$DIR/host$1.log" &
	eval "HOST$1=$!"
	PIDS="$PIDS $!"
}

# wait_for TENTHS COMMAND: tries until it succeeds.
wait_for() {
	n=$1
	shift
	while [ "$n" -gt 0 ]; do
		if eval "$@" >/dev/null 2>&1; then
			return 0
		fi
		sleep 0.1
		n=$((n - 1))
	done
	return 1
}

ready() { curl -sf "$(callers_url "$1")/ready"; }

# change INTENT...: states an intent and confirms its plan.
change() {
	out=$("$BUILD/ffl" --json intent "$@") || {
		echo "$out"
		return 1
	}
	plan=$(echo "$out" | jq .plan)
	revision=$(echo "$out" | jq .revision)
	"$BUILD/ffl" --json confirm "$plan" "$revision"
}

fault() { curl -sf -X POST "$PLATFORM/v1/faults?$1" >/dev/null; }
