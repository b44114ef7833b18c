#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -e balancer/target/load-balancer.jar ] && [ -d review/target/classes ] || { echo "build first" >&2; exit 2; }
timeout -k 3 114 java -Xmx512m -cp review/target/classes MuchAtOnce "$here/record.txt"
code=$?
[ $code -le 2 ] || code=2
exit $code
