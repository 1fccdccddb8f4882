# make demo    run everything in one process with a live request and a batch job
# make test    run the tests
# make check   everything that CI asks for
GO ?= go
BIN := $(CURDIR)/.bin
export PATH := $(BIN):$(PATH)

.PHONY: build demo test check tools fmt-check lint vet generate generate-check model known-red bench capacity chaos

build:
	$(GO) build -o bin/ ./cmd/...

demo:
	$(GO) run ./cmd/catkinrudderd dev --once

test:
	$(GO) test -race ./...

tools: $(BIN)/.stamp

$(BIN)/.stamp: tools/lint/go.mod tools/proto/go.mod
	mkdir -p $(BIN)
	cd tools/lint && GOBIN=$(BIN) $(GO) install tool
	cd tools/proto && GOBIN=$(BIN) $(GO) install tool
	touch $@

fmt-check:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi

vet:
	$(GO) vet ./...

lint: tools
	golangci-lint run --allow-parallel-runners ./...

generate: tools
	buf generate

generate-check: generate
	@git diff --exit-code -- peer || { echo "generated code is not up to date: make generate"; exit 1; }

model:
	@if [ -f spec/Makefile ]; then $(MAKE) -C spec; fi

known-red:
	@if [ -s KNOWN-RED.txt ]; then echo "known red:"; cat KNOWN-RED.txt; else echo "known red: none"; fi

check: fmt-check vet lint generate-check test model known-red
