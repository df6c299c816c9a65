#!/bin/sh
# Writes record.txt into its folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out;
# TROUBLE=lock and TROUBLE=kill have one half of it each.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/locked ] && [ -x ../../bin/wingmount ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
case "${TROUBLE:-1}" in
0) trouble=none ;;
lock | kill) trouble=$TROUBLE ;;
*) trouble=both ;;
esac
run=$(sed -n 's/^run = "\([^"]*\)".*$/\1/p' ../../deploy/balancer.toml)
exec ../bin/locked -dir . -node "$run" -trouble=$trouble
