#!/usr/bin/env bash
# Runs every example of docs/API.md and checks the status of its answer; prints
# TAP.
set -u
BUILD=${BUILD:-build/asan}
PORT=${PORT:-24200}
PAGE=docs/API.md
. scripts/cluster.sh
N=0
OPERATOR=$OPERATOR_TOKEN
TOKEN=rocio-token
OUT=$DIR/out

report() {
	N=$((N + 1))
	[ "$1" = 0 ] || { head -c 600 "$OUT"; echo; } | sed 's/^/# /'
	[ "$1" = 0 ] && echo "ok $N - $2" || echo "not ok $N - $2"
}

curl() { code=$(command curl -s -m 20 -o "$OUT" -w '%{http_code}' "$@"); }
# Checks that an error body is a problem document with the type, the status and
# whether the request ran.
is_problem() {
	jq -e ".status == $code and (.type | startswith(\"urn:fireflyledge:\"))
		and (.ran | IN(\"no\", \"yes\", \"unknown\"))" "$OUT" >/dev/null
}

start_platform
start_host 1
wait_for 300 "ready 1" || { echo "Bail out! not ready"; exit 1; }
unset -f ready
OPERATORS=$(operators_url 1)
CALLERS=$(callers_url 1)
HASH=$("$BUILD/ffl" token-hash "$TOKEN")
wait_for 100 'command curl -s -H "Authorization: Bearer $OPERATOR" $OPERATORS/v1/status | jq -e ".cells[0].leader != \"\""'

count=$(grep -c '^```sh$' "$PAGE")
for i in $(seq "$count"); do
	example=$(awk -v want="$i" '/^```sh$/ { n++; on = n == want; next }
		/^```$/ { on = 0 } on' "$PAGE")
	want=$(head -1 <<<"$example" | tr -dc 0-9)
	code=none
	eval "$example" >/dev/null
	name=$(grep -m1 -o '\(\$OPERATORS\|\$CALLERS\)[^ ]*' <<<"$example")
	[ "$code" = "$want" ]
	report $? "example $i, $name is $want (was $code)"
	if [ "$code" -ge 400 ]; then
		is_problem
		report $? "example $i, a complete problem document"
	fi
done

# Every route of the table in lib/port/command.c is documented on the page.
while read -r method path; do
	grep -q "\`$method ${path//\/\//\/ID/}" "$PAGE"
	report $? "$method $path is on the page"
done < <(grep -o '"\(GET\|POST\|DELETE\)", "/v1/[a-z/]*"' lib/port/command.c |
	tr -d '",' | sort -u)
command curl -s -o /dev/null -D "$OUT" -X PUT "$OPERATORS/v1/jobs"
grep -qi '^allow: GET, POST' "$OUT"
report $? "a 405 lists the methods that the path allows"
echo "1..$N"
