#!/bin/sh
# Counts lines by purpose; tests, fuzzers and fakes stay under a third.
set -eu
count() { git ls-files -- "$@" | grep -E '\.(c|h|sh)$' | xargs -r cat | wc -l; }
decisions=$(count lib/config lib/member lib/fleet lib/gang lib/request lib/host \
	lib/flow lib/dispatch lib/node)
plumbing=$(count lib/base lib/wire lib/port include)
surface=$(count daemon cli scripts jobd platform)
proof=$(count tests fuzz fakes standin site)
bench=$(count bench)
all=$((decisions + plumbing + surface + proof + bench))
printf 'decisions  %6d  %3d%%\n' "$decisions" $((decisions * 100 / all))
printf 'plumbing   %6d  %3d%%\n' "$plumbing" $((plumbing * 100 / all))
printf 'surface    %6d  %3d%%\n' "$surface" $((surface * 100 / all))
printf 'benchmarks %6d  %3d%%\n' "$bench" $((bench * 100 / all))
printf 'proof      %6d  %3d%%  (at most 33%%)\n' "$proof" $((proof * 100 / all))
printf 'all        %6d\n' "$all"
[ $((proof * 3)) -le "$all" ]
