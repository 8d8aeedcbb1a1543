# Starts hosts (ffl-jobd) against a stand-in of the platform; sourced by tests,
# which set BUILD, PORT, DIR (for files) and SITE (the stand-in's address). Host
# N listens for callers at PORT + 10 + N.

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
ready() { curl -sf "$(ready_url "$1")/-/readyz"; }
