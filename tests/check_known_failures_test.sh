#!/usr/bin/env bash
# .ci/check-known-failures has to accept no file and well-formed entries of tests that exist, to name exactly these
# tests, and to fail on each ill-formed entry.
#   check_known_failures_test.sh REPOSITORY
set -euo pipefail
repository=$1
check=$repository/.ci/check-known-failures
parts=(tests)
. "$(dirname "$0")/planted_faults.sh"
checked=$scratch

# listed TEXT
listed() {
    fresh_copy
    printf '%s\n' "$1" >"$scratch/KNOWN-RED.txt"
}

# refused TEXT MESSAGE
refused() {
    listed "$1"
    expect_failure "$2"
}

# names_exactly TEXT REGULAR_EXPRESSION
names_exactly() {
    listed "$1"
    local named
    named=$("$check" "$scratch" 2>/dev/null)
    [ "$named" = "$2" ] || { echo "named '$named' and not '$2'" >&2; exit 1; }
}

first='Layers.EachPlantedIncludeIsFound | ctest, any seed | it fails | issue 3'
second='TestNames.EachPlantedNameIsFound | ctest, seed 4 | it fails too | issue 5'

fresh_copy
rm -f "$scratch/KNOWN-RED.txt"
[ -z "$("$check" "$scratch")" ]
names_exactly "$first" '^(Layers\.EachPlantedIncludeIsFound)$'
names_exactly "$first"$'\n'"$second" '^(Layers\.EachPlantedIncludeIsFound|TestNames\.EachPlantedNameIsFound)$'
refused 'Layers.EachPlantedIncludeIsFound: it fails, issue 3' 'not of the form'
refused 'Layers.EachPlantedIncludeIsFound | ctest | it fails' 'not of the form'
refused 'Layers.EachPlantedIncludeIsFound | ctest |  | issue 3' 'not of the form'
refused 'Layers.EachPlantedIncludeIsFound | ctest | it fails | later' 'not of the form'
refused 'Layers.* | ctest | all fail | issue 3' 'not of the form'
refused "$first"$'\n' 'not of the form'
refused 'Layers.NoSuchTest | ctest | it fails | issue 3' 'there is no test Layers.NoSuchTest'
refused "$first"$'\n'"$first" 'listed twice'
