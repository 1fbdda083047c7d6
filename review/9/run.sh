#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$here")
cd "$here/../.." || exit 2
program="target/review-2/case-$number"
[ -x "$program" ] && [ -x target/release/asterlatch ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
folder=$(mktemp -d) || exit 2
end_all() {
    for pid in $(cat "$folder/processes" 2>/dev/null); do
        tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -q asterlatch && kill -9 "$pid" 2>/dev/null
    done
    rm -rf "$folder"
}
trap end_all EXIT
timeout -k 5 112 "$program" "$folder" "$here/record.txt"
code=$?
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
