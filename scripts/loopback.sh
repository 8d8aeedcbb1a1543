#!/bin/sh
# Measures one entry host on loopback against the bare stand-in upstream, and
# how soon a confirmed change is in force on three hosts. JSON lines.
set -eu
PORT=${PORT:-18100}
export PORT
. "$(dirname "$0")/cluster.sh"
FFL="$BUILD/ffl"
start_platform
start_host 1
wait_for 100 "ready 1"
hash=$("$FFL" token-hash bench-token)
change customer name=bench token_hash="$hash" reason=bench >/dev/null
sleep 2
"$BUILD/bench/loopback" "http://127.0.0.1:$((PORT + 100))/readings" \
	"http://127.0.0.1:$((PORT + 101))/readings" \
	"$(callers_url 1)/readings" bench-token
rss=$(awk '/VmRSS/ { print $2 }' "/proc/$HOST1/status")
echo "{\"name\":\"loopback.rss\",\"value\":$rss,\"unit\":\"KB\",\"hosts\":1}"

# In force: from the confirmation's call until the last host shows it.
start_host 2
start_host 3
wait_for 100 "ready 2 && ready 3"
status_of() { curl -s -H "Authorization: Bearer $FFL_TOKEN" \
	"$(operators_url "$1")/v1/status" | jq .revision; }
start=$(date +%s%N)
rev=$(change drain name=altiplano-1-w3 reason=bench | jq .revision)
for i in 1 2 3; do
	while [ "$(status_of $i)" != "$rev" ]; do :; done
done
end=$(date +%s%N)
echo "{\"name\":\"loopback.in_force\",\"value\":$(((end - start) / 1000000)),\"unit\":\"ms\",\"hosts\":3,\"includes\":\"two ffl calls\"}"
