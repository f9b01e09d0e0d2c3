#!/bin/sh
# The adapter's manners at the door: an empty batch is answered, a bad line ends it with one line on stderr.
set -eu
adapter=$1
test "$(printf 'ROUND\t1\nGO\n' | "$adapter")" = READY
fatal=$(printf 'ROUND\t1\nHELLO\t3\t5\tindex=0\nGO\n' | "$adapter")
test "$fatal" = "$(printf 'FATAL\t3\tmissing setting balancers\nREADY')"
if said=$(printf 'ROUND\t1\nLEDGER\t99\t0\nGO\n' | "$adapter" 2>&1); then exit 1; fi
test "$said" = "lichenlanding_adapter: cannot read LEDGER: field slot"
if printf 'ROUND\t1\nWAKE\n' | "$adapter" 2>/dev/null; then exit 1; fi
