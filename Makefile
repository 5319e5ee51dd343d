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

# KNOWN names the tests that KNOWN-RED.txt lists; .ci/run passes them over.
test:
	go test -race -timeout 30m $(if $(KNOWN),-skip '^($(KNOWN))$$') ./...

# The documents hold commands with their outputs; docs runs them and writes the
# outputs anew, docs-check fails where one has changed.
docs:
	go test ./internal/command/proxy -run 'TestDocs|TestEventsPage' -count 1 -update

docs-check:
	go test ./internal/command/proxy -run 'TestDocs|TestEventsPage' -count 1

demo: build
	.build/demo -binaries .build
