# Starts hosts (ffl-jobd) against a stand-in of the platform; sourced by tests,
# which set BUILD and PORT. Host N listens for callers at PORT + 10 + N. DIR is
# for files, SITE the stand-in's address.
DIR=$(mktemp -d)
SITE=127.0.0.1:$PORT
KEY='Authorization: Bearer k1'

end_processes() {
	for p in "$DIR"/*.pid; do
		[ -e "$p" ] || continue
		kill -9 "$(cat "$p")" 2>/dev/null
	done
	wait 2>/dev/null
}
trap 'end_processes; rm -rf "$DIR"' EXIT

# wait_for TENTHS COMMAND: until the command succeeds, so many tenths of a second
# at most.
wait_for() {
	local n=$1
	shift
	while ! eval "$@" >/dev/null 2>&1; do
		n=$((n - 1))
		[ "$n" -gt 0 ] || return 1
		sleep 0.1
	done
}

# start_site WORKERS
start_site() {
	"$BUILD/ffl-site" -l "$SITE" -w "$1" >"$DIR/site.log" 2>&1 &
	echo $! >"$DIR/site.pid"
	wait_for 100 "curl -sf http://$SITE/state"
}

# start_host N [SETTINGS]; PARTITIONS, if set, are those of the log.
start_host() {
	cat >"$DIR/host$1.ini" <<INI
[host]
name = host-$1
data_centre = norte
region = altiplano
[listen]
callers = 127.0.0.1:$((PORT + 10 + $1))
ready = 127.0.0.1:$((PORT + 20 + $1))
metrics = 127.0.0.1:$((PORT + 30 + $1))
[log]
address = $SITE
${PARTITIONS:+partitions = $PARTITIONS}
[adviser]
address = $SITE
${2:-}
INI
	"$BUILD/ffl-jobd" -c "$DIR/host$1.ini" >>"$DIR/host$1.log" 2>&1 &
	echo $! >"$DIR/host$1.pid"
}

callers_url() { echo "http://127.0.0.1:$((PORT + 10 + $1))"; }
ready_url() { echo "http://127.0.0.1:$((PORT + 20 + $1))"; }
# call METHOD HOST PATH [ARGUMENT...]: prints the status; the body is in a file.
call() {
	local method=$1 host=$2 path=$3
	shift 3
	curl -s -o "$DIR/body" -w '%{http_code}' -X "$method" \
		-H 'Host: ponds.example' -H 'X-Deadline-Ms: 3000' "$@" \
		"$(callers_url "$host")$path"
}
# submit HOST ID JOB and state HOST ID
submit() { call POST "$1" "/lining/$2" -H "$KEY" -d "$3"; }
state() { call GET "$1" "/lining/$2" -H "$KEY" >/dev/null
	jq -r .state "$DIR/body"; }
ready() { curl -sf "$(ready_url "$1")/-/readyz"; }
