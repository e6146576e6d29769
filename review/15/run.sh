#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. review/build-3.sh builds the stand-ins.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/review-3 ] || exit 2
exec target/review/review-3 clock-back review/15/record.txt
