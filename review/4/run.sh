#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/stand && test -x target/wrenferryd || { echo "build first: the build of deploy/system.toml, then review/build.sh" >&2; exit 2; }
trouble=true
test "$TROUBLE" = 0 && trouble=false
exec target/stand -case advice -trouble=$trouble -out review/4/record.txt
