SHELL := /bin/bash
.ONESHELL:
.SHELLFLAGS := -eu -o pipefail -c

BIN := bin
LINT := go tool -modfile=tools/lint/go.mod golangci-lint
GENERATE := go tool -modfile=tools/generate/go.mod

# Tests recorded in KNOWN-RED.txt, as one regular expression.
KNOWN_RED := $(shell scripts/known-red)

.PHONY: build generate format lint unit test demo measure soak clean

build:
	go build -o $(BIN)/ ./cmd/...

generate:
	$(GENERATE) buf generate

format:
	gofmt -w $$(git ls-files -co --exclude-standard '*.go')

lint:
	unformatted=$$(git ls-files -co --exclude-standard '*.go' | xargs gofmt -l)
	if [ -n "$$unformatted" ]; then echo "gofmt would change: $$unformatted"; exit 1; fi
	go vet ./...
	$(LINT) run ./...

unit:
	skip=
	if [ -n "$(KNOWN_RED)" ]; then
	  echo "tests passed over, see KNOWN-RED.txt:"; cat KNOWN-RED.txt
	  skip="-skip=$(KNOWN_RED)"
	fi
	go test -race -timeout 300s $$skip $$(go list ./... | grep -v '/internal/crowdtest$$')
	go test -race -timeout 300s $$skip ./internal/crowdtest # measures memory, so apart from other load

test: lint build unit

demo: build
	$(BIN)/cowslipbench demo

measure: build
	if [ "$(SCENARIO)" = slopes ]; then $(BIN)/cowslipbench slopes; exit; fi
	$(BIN)/cowslipbench measure --deployment=$(or $(DEPLOYMENT),mirrorline) --scenario=$(or $(SCENARIO),overload) --policy=$(or $(POLICY),current) --seed=$(or $(SEED),1) $(MEASURE_FLAGS)

soak: build
	$(BIN)/cowslipbench soak $(SOAK_FLAGS)

clean:
	rm -rf $(BIN)
