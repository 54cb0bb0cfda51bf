#!/usr/bin/env bash
# Plays the case "pipeline" of the second review. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. TROUBLE=0 plays it without the disruption.
exec "$(dirname "$0")/../rig-3/play.sh" pipeline "$(dirname "$0")"
