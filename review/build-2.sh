#!/usr/bin/env bash
# Builds the stand-ins of the cases review/4 to review/8, and of the scripts in review/other-2, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/stand2
