#!/usr/bin/env bash
# Regenerates the committed Go code of the .proto files. Needs protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN=$bin go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
GOBIN=$bin go install connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.21.1
PATH=$bin:$PATH protoc -I api \
  --go_out=. --go_opt=module=github.com/filbertlever/filbertlever \
  --connect-go_out=. --connect-go_opt=module=github.com/filbertlever/filbertlever \
  $(cd api && find . -name '*.proto' -printf '%P\n' | sort)
