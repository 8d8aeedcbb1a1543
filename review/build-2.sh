#!/bin/sh
# Builds the stand-in of each case of the second review into target/review-2/.
# Needs what deploy/system.toml names: gcc, pkg-config, jansson.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
	c=review/$n/case.c
	[ -f "$c" ] || continue
	# shellcheck disable=SC2046
	gcc -O1 -g -Wall -Wextra -D_GNU_SOURCE -pthread -Ireview \
		$(pkg-config --cflags jansson) "$c" review/standin-2.c \
		-o "target/review-2/case$n" $(pkg-config --libs jansson)
done
