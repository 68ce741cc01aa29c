#!/usr/bin/env bash
# Plays the case for about 45 seconds. Build the programs of the deploy file and review/build-3.sh before.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review-3/player -case base -program target/bramleyhinge -dir review/13
