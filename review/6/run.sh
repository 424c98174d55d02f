#!/bin/sh
# Exits with 1 if a request took KV cache that was freed before its fetch had ended, 0 if none did, 2 if the case couldn't run. With
# TROUBLE=0 no gateway is cut off. It takes about 106 seconds.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/balsam-gateway ] && [ -x target/review/cut ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review/cut -cut.case freed -cut.length 12s -cut.named 7500ms -cut.rounds 6 -cut.trouble=$trouble -cut.record review/6/record.txt
