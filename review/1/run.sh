#!/bin/sh
# Plays case 1: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it plays
# without the disruption. It needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/fordusher ] && [ -x review/bin/standin ] || { echo "build first: the deploy file's build, review/build.sh"; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec review/bin/standin -case 1 -trouble=$trouble -record review/1/record.txt
