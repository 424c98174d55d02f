#!/bin/sh
# Exits with 1 if a request used KV cache across the wall of an isolated tenant, 0 if none did, 2 if the case couldn't run. With TROUBLE=0
# no gateway is cut off. It takes about 25 seconds.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/balsam-gateway ] && [ -x target/review/cut ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review/cut -cut.case isolated -cut.length 12s -cut.rounds 1 -cut.trouble=$trouble -cut.record review/7/record.txt
