#!/usr/bin/env bash
# Events whose ids increase by more than one.
# Needs the build of deploy/system.toml and review/build-2.sh. Exit code: 1 if the rule was broken, 0 if it held, 2
# if the case could not run. TROUBLE=0 plays the same without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/filbertlever ] && [ -x target/review-2 ] || { echo "build first"; exit 2; }
exec target/review-2 ids review/other-2/record.txt
