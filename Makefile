BIN := .bin

.PHONY: build test lint fmt tools docs docs-check demo

build:
	go build -o .build/ ./cmd/...

tools: $(BIN)/golangci-lint $(BIN)/gofumpt

$(BIN)/golangci-lint $(BIN)/gofumpt: tools/go.mod tools/go.sum
	cd tools && GOBIN=$(CURDIR)/$(BIN) go install tool

fmt: tools
	$(BIN)/gofumpt -w cmd internal platform

lint: tools
	@test -z "$$($(BIN)/gofumpt -l cmd internal platform)" || { $(BIN)/gofumpt -d cmd internal platform; exit 1; }
	$(BIN)/golangci-lint run ./...
	go vet ./...

# KNOWN is the pattern of the tests to skip; .ci/run sets it to those that
# KNOWN-RED.txt lists. The tests of misbehaving callers measure the memory of processes:
# they run one at a time, apart from the others.
ALONE := TestHostileCallers|TestHostileClients
test:
	go test -race -timeout 30m -skip '^($(if $(KNOWN),$(KNOWN)|)$(ALONE))$$' ./...
	go test -race -timeout 30m -p 1 -run '^($(ALONE))$$' $(if $(KNOWN),-skip '^($(KNOWN))$$') ./platform ./internal/standin/proof

# The documents contain commands with their outputs. The target docs runs the commands
# and updates the outputs; docs-check fails if an output differs.
docs:
	go test ./internal/command/proxy -run 'TestDocs|TestEventsPage' -count 1 -update

docs-check:
	go test ./internal/command/proxy -run 'TestDocs|TestEventsPage' -count 1

demo: build
	.build/demo -binaries .build
