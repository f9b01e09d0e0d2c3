#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] || { echo "build first: review/build.sh"; exit 2; }
REVIEW_ROOT=$(pwd) exec target/review/case-3 review/3/record.txt
