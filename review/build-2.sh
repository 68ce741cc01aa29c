#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand-2 ./review/stand-2
go build -o target/stand-3 ./review/stand-3
