#!/usr/bin/env bash
# Plays the case "thrown" of the second review. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. TROUBLE=0 plays it without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/yucca-platform ] || [ ! -x target/review-rig-2 ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
exec target/review-rig-2 thrown "$here"
