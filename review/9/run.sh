#!/usr/bin/env bash
# Replicas crash while they send answers without a length to requests that they have not read in full.
# Exits with 1 if a client got a part of such an answer as a whole one, 0 if none did, 2 if the case couldn't run.
# With TROUBLE=0 no replica crashes.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bramleyhinge ] && [ -x target/stand-3 ] || { echo "build with the deploy file's line and review/build-2.sh first" >&2; exit 2; }
exec target/stand-3 early target/bramleyhinge review/9
