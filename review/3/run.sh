#!/bin/sh
# DRAIN: an acknowledged deregistration is forgotten when all processes of the core are killed.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Needs `cargo build --release --locked` and `review/build.sh`. TROUBLE=0: without the kill.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/review/standin/target/release/review-standin"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/bitternsill" ]; then
    echo "build first: cargo build --release --locked, and review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
"$program" forgotten "$root" "$folder" "$here/record.txt"
outcome=$?
rm -rf "$folder"
exit $outcome
