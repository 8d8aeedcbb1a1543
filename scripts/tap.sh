# check NAME COMMAND: runs a command as one line of TAP. Sourced by the tests
# with real processes; with SLOW set, tells how long each line took.
N=0

check() {
	local t0=$SECONDS
	local name=$1 out
	shift
	N=$((N + 1))
	if out=$("$@" 2>&1); then
		echo "ok $N - $name"
		[ -z "${SLOW:-}" ] || echo "# $((SECONDS - t0)) s"
	else
		echo "$out" | head -c 2000 | sed 's/^/# /'
		echo "not ok $N - $name"
	fi
}
