#!/usr/bin/env bash
# Builds the stand-ins of the cases, which use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../../target/yucca-review .
