#!/bin/sh
# Writes record.txt into its folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/latekey ] && [ -x ../../bin/wingmount ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
run=$(sed -n 's/^run = "\([^"]*\)".*$/\1/p' ../../deploy/balancer.toml)
exec ../bin/latekey -dir . -node "$run" -trouble=$trouble
