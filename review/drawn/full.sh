#!/usr/bin/env bash
# No case of the review. Fifteen streams run at one entry when short requests to the other entries take the last places of their replicas, which slow
# down. Half a second later the entry of the streams gets SIGTERM. Exits with 1 if it cuts a stream that would have ended in its
# grace time, 0 if not, 2 if the case couldn't run. With TROUBLE=0 no short requests are sent; the entry is stopped all the same.
# STOP=0 leaves the SIGTERM out instead: nothing is judged then, and the record tells what was cut.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bramleyhinge ] && [ -x target/stand-3 ] || { echo "build with the deploy file's line and review/build-2.sh first" >&2; exit 2; }
exec target/stand-3 full target/bramleyhinge review/drawn
