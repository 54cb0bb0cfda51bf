#!/usr/bin/env bash
# Plays a case of rig-3 by its name: review/rig-3/play.sh CASE FOLDER. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
# run.
set -u
[ $# = 2 ] || { echo "usage: $0 CASE FOLDER" >&2; exit 2; }
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/yucca-platform ] || [ ! -x target/review-rig-3 ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
export RIG_HEADER=Yuccawell- RIG_PATH=/yuccawell RIG_SETTINGS=YUCCAWELL_SETTINGS
exec target/review-rig-3 "$1" target/yucca-platform "$folder/record.txt"
