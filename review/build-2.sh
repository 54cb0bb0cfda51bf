#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start, besides the program of the deploy
# file. It needs no network: the stand-ins use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/rig-2 && GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-rig-2 .)
(cd review/rig-3 && GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-rig-3 .)
