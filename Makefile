# make demo    runs an online request, a plain service call and a batch job in one
#              process
# make test    runs the tests; failures listed in KNOWN-RED.txt are printed and do
#              not fail the target
# make check   runs all checks that CI requires
# make model   checks the specifications and their mutants
# make bench   compares the policies with their baselines in virtual time
# make capacity              measures the slopes that docs/CAPACITY.md quotes
# make chaos SEED=1 ROUNDS=5 runs fault injection rounds on real processes
# make soak SEED=1 ROUNDS=5  does the same with gateways on the users' platform,
#                            which has no sidecars
# ARGS passes extra flags to bench, capacity, chaos and soak.
GO ?= go
SEED ?= 1
ROUNDS ?= 5
BIN := $(CURDIR)/.bin
export PATH := $(BIN):$(PATH)

.PHONY: build demo test check tools gopls fmt-check lint vet generate generate-check model bench capacity chaos soak

build:
	$(GO) build -o bin/ ./cmd/...

demo:
	$(GO) run ./cmd/catkinrudderd dev --once

test:
	GO=$(GO) scripts/test.sh

tools: $(BIN)/.stamp

$(BIN)/.stamp: tools/lint/go.mod tools/proto/go.mod
	mkdir -p $(BIN)
	cd tools/lint && GOBIN=$(BIN) $(GO) install tool
	cd tools/proto && GOBIN=$(BIN) $(GO) install tool
	touch $@

# gopls installs the tool for renaming identifiers with all their uses:
# gopls rename -w FILE:LINE:COLUMN NEW
gopls: $(BIN)/gopls

$(BIN)/gopls: tools/gopls/go.mod
	mkdir -p $(BIN)
	cd tools/gopls && GOBIN=$(BIN) $(GO) install tool

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
	$(MAKE) -C spec

bench:
	$(GO) run ./cmd/bench $(ARGS)

capacity:
	$(GO) run ./cmd/capacity $(ARGS)

chaos:
	$(GO) run ./cmd/chaos --seed $(SEED) --rounds $(ROUNDS) $(ARGS)

soak:
	$(GO) run ./cmd/chaos --gateways --seed $(SEED) --rounds $(ROUNDS) $(ARGS)

check: fmt-check vet lint generate-check test model
