#!/usr/bin/env bash
# Builds the stand-ins of the cases that use rig-6.
set -eu
cd "$(dirname "$0")/rig-6"
GOWORK=off go build -o ../../target/review-rig-6 .
