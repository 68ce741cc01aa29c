#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, among them the project's own stand-in for the platform's store.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-play ./review/play
