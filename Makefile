# Every routine job. `make` lists them.

STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2
BIN := bin
# Names the revision in the programs, where Git can be asked for it.
BUILD := go build -buildvcs=$(shell git rev-parse HEAD >/dev/null 2>&1 && echo auto || echo false)

.PHONY: help build demo platform-demo check fmt vet lint test layers docs docs-check generate guards matrix fuzz bench-weights bench-requests bench-control soak soak-known soak-guards

help: ## list the jobs
	@awk -F': .*## ' '/^[a-z-]+:.*## / {printf "%-14s %s\n", $$1, $$2}' $(MAKEFILE_LIST)

build: ## build the two programs into bin/
	$(BUILD) -o $(BIN)/ ./cmd/...

demo: ## start the whole path on this machine and show it
	@scripts/demo.sh

platform-demo: ## show the path on the users' platform, against its stand-in
	@scripts/platform-demo.sh

check: fmt vet lint build layers docs-check test ## everything that CI checks

fmt: ## fail if a file is not formatted
	@bad=$$(gofmt -l $$(git ls-files '*.go')); [ -z "$$bad" ] || { echo "not formatted: $$bad"; exit 1; }

vet: ## go vet
	go vet ./...

lint: ## staticcheck
	go run $(STATICCHECK) ./...

test: ## all tests but those of KNOWN-RED.txt, with the race detector
	@scripts/test.sh

docs: ## write the generated pages of docs/
	go run ./cmd/filbertlever reference cli >docs/CLI.md
	go run ./cmd/filbertlever reference settings >docs/SETTINGS.md
	go run ./cmd/filbertlever bundle schema >docs/bundle.schema.json
	go run ./cmd/filbertlever-proof page >docs/FAULTS.md

docs-check: ## fail if a generated page is out of date
	@scripts/docs-check.sh

layers: ## fail if decisions reach for sockets, files or clocks
	@scripts/layers-check.sh

generate: ## write the committed code of the .proto files; needs protoc
	api/generate.sh

guards: ## remove each guard in turn and see its test fail
	@go run ./cmd/filbertlever-proof guards

matrix: ## run the tests of the fault matrix and print it
	@go run ./cmd/filbertlever-proof matrix

fuzz: ## fuzz everything that reads what comes from outside, 10 s each
	go test -run '^$$' -fuzz '^FuzzParse$$' -fuzztime 10s ./pkg/bundle
	go test -run '^$$' -fuzz '^FuzzDecodeManifest$$' -fuzztime 10s ./pkg/bundle
	go test -run '^$$' -fuzz '^FuzzParse$$' -fuzztime 10s ./internal/settings
	go test -run '^$$' -fuzz '^FuzzAnyOrderOfEvents$$' -fuzztime 10s ./internal/coordination/order
	go test -run '^$$' -fuzz '^FuzzAnyOrderOfRequests$$' -fuzztime 10s ./internal/coordination/intake
	go test -run '^$$' -fuzz '^FuzzRows$$' -fuzztime 10s ./platform
	go test -run '^$$' -fuzz '^FuzzServer$$' -fuzztime 10s ./platform
	go test -run '^$$' -fuzz '^FuzzConfig$$' -fuzztime 10s ./platform
	go test -run '^$$' -fuzz '^FuzzNamed$$' -fuzztime 10s ./platform
	go test -run '^$$' -fuzz '^FuzzEntry$$' -fuzztime 10s ./platform
	go test -run '^$$' -fuzz '^FuzzReport$$' -fuzztime 10s ./platform
	go test -run '^$$' -fuzz '^FuzzManifest$$' -fuzztime 10s ./platform
	go test -run '^$$' -fuzz '^FuzzStaged$$' -fuzztime 10s ./platform
	go test -run '^$$' -fuzz '^FuzzDatagram$$' -fuzztime 10s ./internal/transport/gateway
	go test -run '^$$' -fuzz '^FuzzFeed$$' -fuzztime 10s ./internal/transport/gateway
	go test -run '^$$' -fuzz '^FuzzCheck$$' -fuzztime 10s ./internal/protocol/httphead

bench-weights: build ## measure bursts, live requests under them, and rolls (about 75 s)
	@$(BIN)/filbertlever-bench weights --plot docs/measurements/weights.png

bench-requests: build ## measure routing, overload, overhead and decision cost
	@$(BIN)/filbertlever-bench requests

bench-control: build ## measure what control costs a process, and its slopes
	@$(BIN)/filbertlever-bench control

SEEDS ?= 10

soak: ## run the real programs under SEEDS random series of faults, 40 s each
	$(BUILD) -o $(BIN)/ ./cmd/filbertlever ./cmd/filbertlever-soak
	$(BIN)/filbertlever-soak --binary $(BIN)/filbertlever --seeds $(SEEDS) $(SOAK)

soak-known: ## run the seeds that once failed
	$(BUILD) -o $(BIN)/ ./cmd/filbertlever ./cmd/filbertlever-soak
	$(BIN)/filbertlever-soak --binary $(BIN)/filbertlever --known platform/soak/seeds.yaml $(SOAK)

soak-guards: ## take parts out of the product and see the soak notice
	$(BUILD) -o $(BIN)/ ./cmd/filbertlever-soak
	go run ./cmd/filbertlever-proof soak
