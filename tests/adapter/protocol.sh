#!/bin/sh
# The adapter answers an empty batch, reports a failed instance, and ends with one line on stderr after a bad line.
set -eu
adapter=$1
test "$(printf 'ROUND\t1\nGO\n' | "$adapter")" = READY
fatal=$(printf 'ROUND\t1\nHELLO\t3\t5\tindex=0\nGO\n' | "$adapter")
test "$fatal" = "$(printf 'FATAL\t3\tmissing setting balancers\nREADY')"
if message=$(printf 'ROUND\t1\nLEDGER\t99\t0\nGO\n' | "$adapter" 2>&1); then exit 1; fi
test "$message" = "lichenlanding_adapter: cannot read LEDGER: field slot"
if printf 'ROUND\t1\nWAKE\n' | "$adapter" 2>/dev/null; then exit 1; fi
