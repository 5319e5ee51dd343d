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
# KNOWN-RED.txt lists.
test:
	go test -race -timeout 30m $(if $(KNOWN),-skip '^($(KNOWN))$$') ./...

# The documents contain commands with their outputs. The target docs runs the commands
# and updates the outputs; docs-check fails if an output differs.
docs:
	go test ./internal/command/proxy -run 'TestDocs|TestEventsPage' -count 1 -update

docs-check:
	go test ./internal/command/proxy -run 'TestDocs|TestEventsPage' -count 1

demo: build
	.build/demo -binaries .build
