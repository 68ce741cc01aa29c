#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-play ] && [ -x target/bramleyhinge ] || exit 2
exec target/review-play drain target/bramleyhinge review/5/record.txt
