#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. Needs target/release/chestnutreachd and
# review/build-2.sh. A guard process ends all that was started, also when the
# script or its driver is killed.
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-2/release/review-standin-2
[ -x target/release/chestnutreachd ] && [ -x "$standin" ] || exit 2
"$standin" feed review/6/record.txt &
driver=$!
trap 'kill -9 "$driver"; exit 2' HUP INT TERM
wait "$driver"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
