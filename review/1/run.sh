#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
root=../..
[ -x "$root/target/hollowgrade" ] || { echo "target/hollowgrade is missing: run the build command of deploy/system.toml"; exit 2; }
../build.sh || exit 2
exec timeout --signal=KILL 118 "$root/target/review-cases" hangup "$root/target/hollowgrade" .
