#!/bin/sh
# Builds the stand-ins of the cases in review/4 to review/8 into target/review-2. Needs g++ alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -Ireview/stand-2 -o "target/review-2/case-$number" "$source" &
done
wait
for source in review/[4-8]/case.cpp; do
    [ ! -e "$source" ] || [ -x "target/review-2/case-$(basename "$(dirname "$source")")" ]
done
