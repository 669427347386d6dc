#!/usr/bin/env bash
# Runs the scenario of one case: run-case.sh NUMBER RECORD. Settings and logs of the controllers are in a temporary
# folder; what was sent, answered and run is written to the file RECORD. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# The scenario ends itself after 115 s, and the controllers end with it. CASE_LOG sets their LOG_LEVEL, and CASE_KEEP=1
# keeps the folder.
set -u
cd "$(dirname "$0")/../.." || exit 2
scenario=target/review-2/case-$1
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -x "$scenario" ] && [ -x "${command%% *}" ] || { echo "build first: deploy file, review/build-2.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
"$scenario" "$2" "$folder" "$command" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT
wait "$child"
status=$?
if [ -n "${CASE_KEEP:-}" ]; then echo "kept $folder"; else rm -rf "$folder"; fi
case $status in 0 | 1 | 2) exit "$status" ;; *) exit 2 ;; esac
