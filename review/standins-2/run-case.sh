#!/bin/bash
# Runs a case of the rig: run-case.sh NUMBER CASE. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule
# was broken, with 0 if it held, and with 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
number=$1
case=$2
rig=target/review-2/rig
if [ ! -x "$rig" ]; then
    echo "not built: run review/build-2.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
end_processes() {
    # Only processes that the rig started and did not end, which happens if it was killed itself.
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            if [ -r "/proc/$pid/cmdline" ] && tr '\0' ' ' < "/proc/$pid/cmdline" 2> /dev/null | grep -q -- "$folder"; then
                kill -9 "$pid"
            fi
        done < "$folder/pids"
    fi
    rm -rf "$folder"
}
trap end_processes EXIT
timeout 110 "$rig" "$case" target/release "$folder" "review/$number/record.txt" "${TROUBLE:-1}"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
