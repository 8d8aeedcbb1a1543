# Sourced by review/N/run.sh: starts a case's stand-in and the entry hosts, and
# ends both. HERE is the case's folder, HOSTS the number of hosts.
cd "$HERE/../.." || exit 2
N=$(basename "$HERE")
TROUBLE=${TROUBLE:-1}
CASE=target/review-2/case$N
[ -x "$CASE" ] && [ -x target/ffl-jobd ] || exit 2
DIR=$(mktemp -d) || exit 2
PIDS=""
finish() {
	for p in $PIDS; do kill -9 "$p" 2>/dev/null; done
	for p in $PIDS; do wait "$p" 2>/dev/null; done
	rm -rf "$DIR"
}
trap finish EXIT
trap 'exit 2' INT TERM
"$CASE" "$DIR" "$HERE/record.txt" "$TROUBLE" &
STAND=$!
PIDS=$STAND
for _ in $(seq 100); do
	[ -f "$DIR/begun" ] && break
	sleep 0.1
done
[ -f "$DIR/begun" ] || exit 2
h=1
while [ $h -le "$HOSTS" ]; do
	FIREFLYLEDGE_SETTINGS=$DIR/host$h.ini target/ffl-jobd \
		-c "$DIR/host$h.ini" >"$DIR/host$h.log" 2>&1 &
	PIDS="$PIDS $!"
	h=$((h + 1))
done
wait $STAND
rc=$?
PIDS=${PIDS#"$STAND"}
# With GRACE_S, a host that stays after SIGTERM for that long hangs.
if [ -n "${GRACE_S:-}" ]; then
	hung=0
	for p in $PIDS; do kill -TERM "$p"; done
	sleep "$GRACE_S"
	for p in $PIDS; do
		grep -qs '^State:.[^Z]' "/proc/$p/status" || continue
		hung=$((hung + 1))
	done
	echo "$hung of $HOSTS hosts are still there $GRACE_S s after SIGTERM" \
		>>"$HERE/record.txt"
	[ $rc -le 1 ] && rc=$((rc == 1 && hung > 0))
fi
[ -n "${KEEP:-}" ] && cp "$DIR"/host*.log "$KEEP"
case $rc in 0 | 1) exit $rc ;; *) exit 2 ;; esac
