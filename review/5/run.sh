#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
root=../..
if [ ! -x "$root/target/hollowgrade" ] || [ ! -x "$root/target/review-second" ]; then
  echo "build first: the command of deploy/system.toml, and review/build-2.sh"
  exit 2
fi
exec "$root/target/review-second" silence . "$root/target/hollowgrade"
