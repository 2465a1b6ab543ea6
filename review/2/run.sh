#!/usr/bin/env bash
# Plays the case once. Exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
# TROUBLE=0 plays it without the disturbance. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/filbertlever ] && [ -x target/review-stand ] || { echo "not built" >&2; exit 2; }
exec target/review-stand manifest target/filbertlever review/2/record.txt
