GO ?= go
LINT := $(GO) tool -modfile=tools/lint/go.mod golangci-lint
BUF := $(GO) tool -modfile=tools/go.mod buf
BIN := bin/auburndale
LOCAL_LISTEN ?= 127.0.0.1:8080
LOCAL_DATA ?= data/local

.PHONY: run build test race fuzz lint fmt vet generate check-generated

run: build
	$(BIN) local --listen $(LOCAL_LISTEN) --data_dir $(LOCAL_DATA)

build:
	$(GO) build -o $(BIN) ./cmd/auburndale

test:
	scripts/test
	scripts/crowd

race:
	scripts/race

fuzz:
	scripts/fuzz

lint:
	$(LINT) run ./...

fmt:
	$(LINT) fmt ./...

check-fmt:
	$(LINT) fmt --diff ./...

vet:
	$(GO) vet ./...

generate:
	$(BUF) generate
	$(GO) generate ./...

check-generated: generate
	git diff --exit-code -- internal/aubwire docs
