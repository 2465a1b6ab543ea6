#!/usr/bin/env bash
# Runs all tests with the race detector, but those that KNOWN-RED.txt lists, one a line
# with its cause, and prints these.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  skip=(-skip "^($(cut -d: -f1 KNOWN-RED.txt | paste -sd'|'))\$")
fi
go test -race -timeout 10m "${skip[@]}" ./...
