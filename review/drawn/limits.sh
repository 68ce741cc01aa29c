#!/usr/bin/env bash
# No case of the review: the operator raises the manifest's limit for headers while clients have open channels. Exits with 1 if
# more requests within the new limit end with 431 on these channels than DENIED allows, 0 if not, 2 if it couldn't run.
# With TROUBLE=0 the higher limit is in force from the start; the same manifest is written again with a new version.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bramleyhinge ] && [ -x target/stand-3 ] || { echo "build with the deploy file's line and review/build-2.sh first" >&2; exit 2; }
exec target/stand-3 limits target/bramleyhinge review/drawn
