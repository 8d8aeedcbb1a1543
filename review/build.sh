#!/bin/sh
# Builds the stand-in that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra \
	-Wno-unused-parameter $(pkg-config --cflags glib-2.0 jansson) \
	-o target/review/standin review/standin.c \
	$(pkg-config --libs glib-2.0 jansson) -lcivetweb -lpthread
