#!/usr/bin/env bash
# Fails if internal/coordination reaches for sockets, files, clocks or global
# randomness, or if a layer imports one above it.
set -euo pipefail
cd "$(dirname "$0")/.."
fail=0
sources=$(git ls-files -co --exclude-standard 'internal/coordination/*.go' | grep -v _test.go)
if grep -nE '^\s*(_ )?"(net|net/http|os|os/.*|io/fs|syscall|sync|sync/atomic|context|crypto/rand|log)"' $sources; then
  echo "internal/coordination must not import these"; fail=1
fi
if grep -nE 'time\.(Now|Since|Until|Sleep|After|AfterFunc|Tick|NewTimer|NewTicker)\(|\bgo func|rand\.(Int|IntN|N|Uint64|Float64|Perm|Shuffle)\(' $sources; then
  echo "internal/coordination must not use clocks, goroutines or global randomness"; fail=1
fi
module=$(go list -m)
imports() { go list -f '{{join .Imports "\n"}}' "./internal/$1/..." | grep "^$module/internal/" | sort -u || true; }
above() { # above LAYER LAYERS-NOT-TO-IMPORT
  if imports "$1" | grep -E "/internal/($2)(/|$)"; then echo "internal/$1 must not import $2"; fail=1; fi
}
above state 'coordination|protocol|transport|operator|settings|standin'
above coordination 'protocol|transport|operator|settings|standin'
above protocol 'transport|operator|settings|standin'
[ $fail -eq 0 ] && echo "layers are clean"
exit $fail
