#!/usr/bin/env bash
# .ci/check-test-names has to pass on the pages as they are, and to fail on each wrong name planted in one, and when
# a test that a page names is renamed.
#   check_test_names_test.sh REPOSITORY
set -euo pipefail
repository=$1
check=$repository/.ci/check-test-names
parts=(docs tests)
. "$(dirname "$0")/planted_faults.sh"
checked=$scratch

# planted FILE TEXT MESSAGE
planted() {
    fresh_copy
    printf '%s\n' "$2" >>"$scratch/docs/$1"
    expect_failure "$3"
}

# accepted TEXT
accepted() {
    fresh_copy
    printf '%s\n' "$1" >>"$scratch/docs/design.md"
    "$check" "$scratch"
}

fresh_copy
"$check" "$scratch"
accepted 'Names of any kind: `JobTable.*`, `FairShare.EveryShareIsAtLeastTheDemandOrAnEqualShare`, Boost.Intrusive.'
accepted 'Other macros: `PageSplit.KeepsEveryChunkOnceWithinTheLimit`, `Layers.EachPlantedIncludeIsFound`.'
accepted '**Cause.** Bold text that ends in a full stop, before state.next and docs/README.Md.'
planted design.md 'See `JobTable.NoSuchTest`.' 'there is no test JobTable.NoSuchTest'
planted reliability.md '| row | JobTable.KeepsRecords... |' 'there is no test JobTable.KeepsRecords...'
planted incidents/README.md '`NoSuchSuite.*` hold it.' 'there is no test NoSuchSuite.*'

fresh_copy
sed -i 's/TEST(OutageAfterCancel, AMachineThatHangsIsReleasedInTime)/TEST(OutageAfterCancel, Renamed)/' "$scratch"/tests/*.cpp
expect_failure 'there is no test OutageAfterCancel.AMachineThatHangsIsReleasedInTime'

fresh_copy
rm "$scratch"/tests/*.cpp "$scratch/tests/CMakeLists.txt"
touch "$scratch/tests/empty.cpp" "$scratch/tests/CMakeLists.txt"
expect_failure 'no tests found'
echo "all planted names were found"
