#!/bin/sh
# Plays the case "single" and writes record.txt beside this file. Needs target/corkpulleyd and review/build.sh.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-client ] || { echo "bin/review-client is not built: run review/build.sh" >&2; exit 2; }
exec bin/review-client single review/2/record.txt
