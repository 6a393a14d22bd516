#!/usr/bin/env bash
# Plays the case "large-turn" and writes record.txt here. It exits with 1 if the rule was broken,
# 0 if it held and 2 if it could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x "$root/target/baobabspool" ] && [ -x "$root/target/review/rig" ] || exit 2
BAOBABSPOOL_PROGRAM=$root/target/baobabspool exec "$root/target/review/rig" large-turn "$PWD"
