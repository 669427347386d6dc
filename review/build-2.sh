#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of the cases review/4 to review/8 under target/review-2. Needs the compiler
# and the packages of the deploy file, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -Ireview/stand-ins-2)
g++ "${flags[@]}" -c review/stand-ins-2/platform.cpp -o "$out/platform.o"
for scenario in review/[4-8]/scenario.cpp; do
    [ -f "$scenario" ] || continue
    number=$(basename "$(dirname "$scenario")")
    g++ "${flags[@]}" "$scenario" "$out/platform.o" -o "$out/case-$number"
done
