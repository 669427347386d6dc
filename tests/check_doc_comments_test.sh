#!/usr/bin/env bash
# .ci/check-doc-comments has to pass on the headers as they are, to fail on each undocumented item planted in one, and
# to pass over what needs no comment.
#   check_doc_comments_test.sh REPOSITORY
set -euo pipefail
repository=$1
check=$repository/.ci/check-doc-comments
parts=(src)
. "$(dirname "$0")/planted_faults.sh"
checked=$scratch/src

# in_header DECLARATIONS: a new header that holds them.
in_header() {
    fresh_copy
    printf '%s\n' '/// A planted header.' '#pragma once' 'namespace hatchwind::mesh {' "$1" '}' \
        >"$scratch/src/mesh/planted.hpp"
}

# planted DECLARATIONS MESSAGE
planted() {
    in_header "$1"
    expect_failure "$2"
}

fresh_copy
"$check" "$scratch/src"
planted 'class Planted { public: int size() const; };' 'Compound hatchwind::mesh::Planted is not documented'
planted $'/// Documented.\nclass Planted { public:\n int size() const; };' 'Member size() const (function)'
planted $'/// Documented.\nclass Planted { public:\n // Not for Doxygen.\n int size() const; };' 'Member size() const'
planted $'/// Documented.\nclass Planted { public:\n enum class Kind { one }; };' 'Member Kind (enumeration)'
planted $'/// Documented.\nclass Planted { public:\n using Sizes = int; };' 'Member Sizes (typedef)'
planted $'/// Documented.\nclass Planted { public:\n int size = 0; };' 'Member size (variable)'
planted 'int size(int of_what);' 'Member size(int of_what) (function) of namespace hatchwind::mesh'
planted 'enum class Kind { one };' 'Member Kind (enumeration)'
planted 'using Sizes = int;' 'Member Sizes (typedef) of namespace'
planted $'/// Documented.\n/// \\param absent  is none.\nint size(int of_what);' "argument 'absent' of command @param"

in_header $'/// Documented.\nclass Planted {\n  public:\n    explicit Planted(int given);\n    /// Documented.
    int size() const;\n  private:\n    int grow();\n};\n/// Documented.\nenum class Kind { one };\n/// Documented.
struct Point { int x = 0; friend bool operator==(const Point&, const Point&) = default; };'
"$check" "$scratch/src"

fresh_copy
sed -i 1d "$scratch/src/mesh/write_share.hpp"
expect_failure 'mesh/write_share.hpp: does not begin with a doc comment'
echo "all planted items were found"
