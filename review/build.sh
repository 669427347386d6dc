#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review, with what the deploy build needs and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
builds=()
for source in review/[0-9]*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Isrc -Ireview/stand_ins "$source" src/io/*.cpp -lhttp_parser -o "target/review/case$number" &
    builds+=($!)
done
for build in "${builds[@]}"; do wait "$build"; done
