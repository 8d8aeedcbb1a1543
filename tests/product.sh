#!/usr/bin/env bash
# Checks installation, manual pages, settings and the command line; prints TAP.
set -u
BUILD=${BUILD:-build/asan}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
. scripts/tap.sh
exits() { "${@:2}"; [ $? = "$1" ]; }
root=$DIR/root
check "make install" make -s install BUILD=build DESTDIR="$root" PREFIX=/opt/ffl
check "installed programs run" "$root/opt/ffl/sbin/fireflyledged" --version
check "pkg-config knows the library" bash -c \
	"[ \"\$(PKG_CONFIG_PATH=$root/opt/ffl/lib/pkgconfig pkg-config --modversion fireflyledge)\" = 0.1.0 ]"
check "the shared library has a versioned name" bash -c \
	"readelf -d $root/opt/ffl/lib/libfireflyledge.so | grep -q 'SONAME.*libfireflyledge.so.0\]'"
check "the shared library exports only ffl_ symbols" bash -c \
	"nm -D --defined-only $root/opt/ffl/lib/libfireflyledge.so | awk '\$2 != \"A\" {print \$3}' | grep -v '^ffl_' | wc -l | grep -qx 0"
cat >"$DIR/use.c" <<'END'
#include <fireflyledge/settings.h>
int main(void) { return ffl_settings_count() > 20 ? 0 : 1; }
END
check "a program links with it by pkg-config" bash -c \
	"export PKG_CONFIG_PATH=$root/opt/ffl/lib/pkgconfig
	 gcc $DIR/use.c -o $DIR/use -I$root/opt/ffl/include \
	 \$(pkg-config --cflags glib-2.0 jansson) -L$root/opt/ffl/lib -lfireflyledge &&
	 LD_LIBRARY_PATH=$root/opt/ffl/lib $DIR/use"
# The pages refer to each other and are not installed yet, so mandoc cannot find
# them.
check "manual pages are clean" bash -c \
	"! mandoc -T lint man/*.[158] | grep -v 'referenced manual not found: Xr \(ffl\|fireflyledged\)'"
check "the settings page matches the table of settings" bash -c \
	"diff <(cat man/settings.head; $BUILD/fireflyledged --mdoc-settings; cat man/settings.tail) man/fireflyledged.ini.5"
FFL=$BUILD/ffl
for c in $("$FFL" --help | awk '/^  [a-z]/ { print $1 }'); do
	check "$c --help" exits 0 "$FFL" "$c" --help
done
check "unknown command" exits 2 "$FFL" nothing
check "missing argument" exits 2 "$FFL" drain
check "no server" exits 4 "$FFL" --operators http://127.0.0.1:9 status
printf '[ffl]\nopertors = x\n' >"$DIR/bad.ini"
check "unknown key in the settings file of ffl" exits 3 "$FFL" --config "$DIR/bad.ini" status
printf '[host]\nname\n[host]\nname = a\nname = b\n[requests]\ntimeout = 3\n' >"$DIR/d.ini"
check "check-config reports all errors, with file, line and key" bash -c \
	"$FFL check-config $DIR/d.ini >$DIR/found; [ \$? = 3 ] &&
	 grep -q 'd.ini:2.*cannot be parsed' $DIR/found && grep -q 'd.ini:3.*section appears twice' $DIR/found &&
	 grep -q 'd.ini:5.*twice' $DIR/found && grep -q 'd.ini:7.*unit' $DIR/found && grep -q 'required' $DIR/found"
check "check-config reports them as JSON" bash -c \
	"$FFL --json check-config $DIR/d.ini | jq -e 'map(select(.line == 7 and .key == \"timeout\")) | length == 1'"
# Two stand-ins with one upstream port, as two demos on one machine would have.
PLATFORM_PORT=${PORT:-16800}
platform() { exec "$BUILD/ffl-platform" --listen=127.0.0.1:$((PLATFORM_PORT + $1)) \
	--upstreams=$((PLATFORM_PORT + 2)) --dc=altiplano-1:altiplano:1:1; }
platform 0 >"$DIR/first" 2>&1 &
FIRST=$!
for _ in $(seq 100); do grep -q ready "$DIR/first" && break; sleep 0.1; done
(platform 1) >"$DIR/second" 2>&1
check "the first stand-in is ready" grep -q ready "$DIR/first"
check "a port in use is named in the error" grep -q \
	"cannot listen on 127.0.0.1:$((PLATFORM_PORT + 2))" "$DIR/second"
kill -TERM "$FIRST"
wait "$FIRST"
echo "1..$N"
