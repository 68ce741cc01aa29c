#!/usr/bin/env bash
# The three replicas of a service crash at once while they work on requests that are alike, and are back after five seconds;
# later both entries are killed and start again. Exits with 1 if less than a quarter of the requests is served from 12 seconds
# after that on, 0 if more is, 2 if the case couldn't run. With TROUBLE=0 no replica crashes.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bramleyhinge ] && [ -x target/stand-3 ] || { echo "build with the deploy file's line and review/build-2.sh first" >&2; exit 2; }
exec target/stand-3 same target/bramleyhinge review/8
