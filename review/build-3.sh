#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start, as bin/rig4. They have no
# dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
cd review/rig-4
GOWORK=off GOTOOLCHAIN=local go build -o ../../bin/rig4 .
