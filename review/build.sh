#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review. The gateway itself is built by the command
# of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/stand "$case" -o "target/review/case-$number"
done
