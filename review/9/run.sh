#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
HERE=$(cd "$(dirname "$0")" && pwd)
HOSTS=2
. "$HERE/../lib-2.sh"
