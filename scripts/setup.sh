#!/bin/sh
# Installs by apt the packages that the build and the tests need.
set -eu
packages="gcc make pkg-config perl clang clang-format clang-tidy cppcheck
libclang-rt-14-dev liburcu-dev libmsgpack-dev libcivetweb-dev
libargtable2-dev liblog4c-dev libglib2.0-dev libinih-dev libjansson-dev
libcurl4-openssl-dev libxxhash-dev libsodium-dev libgsl-dev curl jq gnuplot-nox mandoc"
missing=""
for p in $packages; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null |
		grep -q 'install ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing >/dev/null
