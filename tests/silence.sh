#!/usr/bin/env bash
# Lets the open connections of two hosts to the log and to workers go silent,
# with 1, 8 and 64 of them kept for each worker; prints TAP. The longest gap in
# renewals and the age of the configuration are printed, not checked.
BUILD=${BUILD:-build/asan}
PORT=${PORT:-17900}
WORKERS=3
. scripts/tap.sh
. scripts/hosts.sh
echo 1..9

call() {
	curl -s -o /dev/null -w '%{http_code}' -X "$1" \
		-H 'Host: ponds.example' -H 'Authorization: Bearer k1' \
		"$(callers_url "$2")$3" "${@:4}"
}
queue() {
	echo "{\"name\":\"$1\",\"host\":\"ponds.example\",\"service\":\"survey\",
	\"path_prefix\":\"/$1/\",\"max_attempts\":2,\"deadline_factor\":3}"
}
config() {
	curl -sf -X POST "http://$SITE/config" -d "{\"version\":$1,
	\"routes\":[$2],\"tenants\":[{\"name\":\"ponds\",\"api_keys\":[\"k1\"],
	\"guaranteed\":{\"gpu\":8}}]}"
}
figure() { curl -s "http://$SITE/state" | jq ".$1"; }
ms() { echo $(($(date +%s%N) / 1000000)); }

# silence KEPT: so many orders go to each worker at once and leave their
# connections behind. The lease lasts 6.5 s, 65% of the longest one.
silence() {
	local tasks=$(($1 * WORKERS)) since starts
	start_site $WORKERS
	config 1 "$(queue lining)"
	start_host 1
	start_host 2
	wait_for 100 "ready 1 && ready 2"
	call POST 1 /lining/00000000000000a1 -d "{\"spec\":\"work=3600000 small\",
	\"steps\":[{\"count\":$tasks,\"cpu\":10,\"mem_mb\":1,\"long_running\":true}]}" >/dev/null
	check "$tasks tasks run" wait_for 100 '[ "$(figure running)" = '$tasks' ]'
	sleep 1
	starts=$(figure starts)
	curl -s "http://$SITE/fault?kind=silence" >/dev/null
	config 2 "$(queue lining),$(queue dew)"
	since=$(ms)
	check "$1 silent connections a worker: a new route is in force" \
		wait_for 100 '[ "$(call GET 1 /dew/)$(call GET 2 /dew/)" = 200200 ]'
	echo "# in force after $(($(ms) - since)) ms"
	sleep 14
	echo "# longest gap in renewals $(figure renewal_gap_ms) ms"
	check "no lease lapses" \
		[ "$(figure running) $(figure starts)" = "$tasks $starts" ]
	end_processes
	rm -f "$DIR"/*
}

silence 1
silence 8
silence 64
