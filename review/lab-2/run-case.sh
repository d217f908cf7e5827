#!/bin/sh
# Runs a case: run-case.sh PROGRAM FOLDER [ARGUMENT...]. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
program=$1
folder=$(cd "$2" && pwd)
shift 2
cd "$(dirname "$0")/../.." || exit 2
for needed in target/release/masticstaird "target/review-2/$program"; do
    [ -x "$needed" ] || { echo "$needed is not built"; exit 2; }
done
LAB_FOLDER=$(mktemp -d) || exit 2
export LAB_FOLDER
end_processes() {
    # Only the processes that the case started, by their ids.
    if [ -f "$LAB_FOLDER/pids" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$LAB_FOLDER/pids"
    fi
    [ -n "${KEEP_LOGS:-}" ] || rm -rf "$LAB_FOLDER"
}
trap end_processes EXIT
trap 'exit 2' INT TERM
timeout 110 "target/review-2/$program" "$folder/record.txt" "$@"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
