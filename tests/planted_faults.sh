# For tests of the checks in .ci: what they share. Sourced, with `check` (the program), `repository` and `parts` (the
# directories of the repository that the check reads) set; the copy is in
# $scratch, and `checked` is what of it the check is given.
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

fresh_copy() {
    local part
    for part in "${parts[@]}"; do
        rm -rf "${scratch:?}/$part"
        cp -r "$repository/$part" "$scratch/$part"
    done
}

# expect_failure MESSAGE: the check fails on the copy, and says this.
expect_failure() {
    local output
    if output=$("$check" "$checked" 2>&1); then
        echo "passed, expected was a failure with: $1" >&2
        exit 1
    fi
    grep -qF -- "$1" <<<"$output" || { echo "expected: $1"; echo "said: $output"; exit 1; } >&2
}
