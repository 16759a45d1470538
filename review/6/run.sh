#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. Needs target/release/chestnutreachd and
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
record=review/6/record.txt
standin=target/review-2/release/review-standin-2
[ -x target/release/chestnutreachd ] && [ -x "$standin" ] || exit 2
"$standin" feed "$record" &
driver=$!
end() {
    kill -9 "$driver"
    for id in $(sed -n 's/.*starts process //p' "$record"); do
        kill -9 "$id"
    done
    exit 2
}
trap end INT TERM
wait "$driver"
