#!/bin/sh
# Builds what the scripts of the third review start beside the entry host.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
${CC:-gcc} -std=gnu11 -O2 -g -Wall -D_GNU_SOURCE $(pkg-config --cflags glib-2.0 jansson) \
	-o target/review-standin-3 review/standin-3.c \
	-lcivetweb -lpthread $(pkg-config --libs glib-2.0 jansson)
