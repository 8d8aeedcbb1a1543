# Functions that the scripts of the cases share. A script sets HERE to its
# folder and sources this file; all that it starts is ended when it exits.
ROOT=$(cd "$HERE/../.." && pwd)
RECORD=$HERE/record.txt
TROUBLE=${TROUBLE:-1}
DIR=$(mktemp -d)
PIDS=
SINCE=$(date +%s%N)

clean_up() {
	local p
	exec 2>/dev/null
	for p in $PIDS; do
		kill -9 "$p" 2>/dev/null
	done
	wait 2>/dev/null
	grep -hE '"(leader-began|leader-ended|config-in-force)"' \
		"$DIR"/host*.log 2>/dev/null | cut -c1-200 >>"$RECORD"
	rm -rf "$DIR"
}
trap clean_up EXIT
: >"$RECORD"

# Milliseconds since the script began.
now() { echo $((($(date +%s%N) - SINCE) / 1000000)); }
say() {
	local ms
	ms=$(now)
	printf '%5d.%03d s  %s\n' $((ms / 1000)) $((ms % 1000)) "$*" |
		tee -a "$RECORD"
}
# The case could not run.
give_up() { say "the case could not run: $*"; exit 2; }
wait_for() {
	local until=$(($(now) + $1))
	shift
	while ! eval "$@" >/dev/null 2>&1; do
		[ "$(now)" -lt "$until" ] || return 1
		sleep 0.1
	done
}

# Ports that nobody listens on, from $PORT to $PORT + 59.
pick_port() {
	local try p
	for try in $(seq 50); do
		PORT=$((20000 + (RANDOM % 200) * 60))
		for p in $(seq $PORT $((PORT + 59))); do
			(exec 3<>"/dev/tcp/127.0.0.1/$p") 2>/dev/null &&
				continue 2
		done
		return
	done
	give_up "no free ports"
}

# start_platform SERVICE=COUNT...
start_platform() {
	pick_port
	STORE=127.0.0.1:$PORT
	[ -x "$ROOT/target/review/standin" ] || give_up "review/build.sh first"
	"$ROOT/target/review/standin" "$PORT" "$RECORD" "$@" &
	PIDS="$PIDS $!"
	wait_for 5000 "curl -sf http://$STORE/state" ||
		give_up "the stand-in does not answer"
}

# Starts host $1 with the command of deploy/system.toml and the settings that
# deploy/settings.ini.tmpl gives on rocio-ops.
start_host() {
	cat >"$DIR/host$1.ini" <<INI
[host]
name = edge-norte-$1
data_centre = norte
region = altiplano
processor = 0.25core
cores = 1
[listen]
callers = 127.0.0.1:$((PORT + 10 + $1))
ready = 127.0.0.1:$((PORT + 20 + $1))
metrics = 127.0.0.1:$((PORT + 30 + $1))
[log]
address = $STORE
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
INI
	(cd "$ROOT" && exec target/ffl-jobd -c "$DIR/host$1.ini") \
		>>"$DIR/host$1.log" 2>&1 &
	HOST_PID=$!
	PIDS="$PIDS $HOST_PID"
}
ready() { curl -sf -m 1 "http://127.0.0.1:$((PORT + 20 + $1))/-/readyz"; }
put_config() {
	curl -sf -m 5 -X POST "http://$STORE/config" --data-binary @- ||
		give_up "the store refused a config"
}
# call METHOD HOST PATH [curl's arguments]: gives the status and the body; the
# caller waits for 3 s, as X-Deadline-Ms says.
call() {
	local method=$1 host=$2 path=$3
	shift 3
	curl -s -m 3 -w ' %{http_code}' -X "$method" -H 'X-Deadline-Ms: 3000' \
		-H "Host: $NAME" -H "Authorization: Bearer $KEY" "$@" \
		"http://127.0.0.1:$((PORT + 10 + host))$path" |
		awk '{ s = $NF; $NF = ""; print s " " $0 }'
}
# submit HOST PATH BODY: tries until the job is accepted, as a consumer does.
submit() {
	local try got host=$1
	for try in 1 2 3 4 5; do
		got=$(call POST "$host" "$2" -H 'Content-Type: application/json' \
			-d "$3")
		say "POST $2 at host $host: ${got:-no answer}"
		case $got in
		2*) return 0 ;;
		4*) return 1 ;;
		esac
		host=$((host % HOSTS + 1))
		sleep 0.5
	done
	return 1
}
state() { call GET "$1" "$2" | sed -n 's/^200.*"state": *"\([a-z]*\)".*/\1/p'; }
# figure SERVICE NAME: running or gpu_free, by the minions.
figure() { curl -sf -m 2 "http://$STORE/state" | jq -r ".\"$1\".$2"; }
