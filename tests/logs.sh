#!/usr/bin/env bash
# Checks that every event that ffl-jobd logs is documented in docs/LOGS.md; prints
# TAP.
echo 1..1
missing=""
for e in $(cat lib/node/*.c lib/dispatch/*.c jobd/*.c | tr -d '\n\t' |
	grep -oE '(_note\([a-z>-]+, (ready \? )?|jobd_line\()"[a-z-]+"(\s*: "[a-z-]+")?' |
	grep -oE '"[a-z-]+"' | tr -d '"' | sort -u); do
	grep -qw -- "$e" docs/LOGS.md || missing="$missing $e"
done
if [ -z "$missing" ]; then
	echo "ok 1 - events are documented"
else
	echo "# not in docs/LOGS.md:$missing"
	echo "not ok 1 - events are documented"
fi
