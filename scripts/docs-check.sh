#!/usr/bin/env bash
# Fails if a generated page differs from what the code says.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
go build -o "$work/filbertlever" ./cmd/filbertlever
"$work/filbertlever" reference cli >"$work/CLI.md"
"$work/filbertlever" reference settings >"$work/SETTINGS.md"
"$work/filbertlever" bundle schema >"$work/bundle.schema.json"
go run ./cmd/filbertlever-proof page >"$work/FAULTS.md"
for page in CLI.md SETTINGS.md bundle.schema.json FAULTS.md; do
  diff -u "docs/$page" "$work/$page" || { echo "docs/$page is out of date: run 'make docs'"; exit 1; }
done
echo "generated pages are current"
