# Build, check and run trefoildock. `make help` lists the targets.
SHELL := /bin/bash
.SHELLFLAGS := -eu -o pipefail -c
.DEFAULT_GOAL := help

TOOLS ?= $(HOME)/.cache/trefoildock-tools
GOLANGCI_VERSION := v2.15.0
BUF_VERSION := v1.75.0
PROTOC_GEN_GO_VERSION := v1.36.12
GOLANGCI := $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION)
BUF := $(TOOLS)/buf-$(BUF_VERSION)
PROTOC_GEN_GO := $(TOOLS)/protoc-gen-go

MODULES := $(shell sed -n 's|^[[:space:]]*\./||p' go.work)
PACKAGES := $(addprefix ./,$(addsuffix /...,$(MODULES)))
SEED ?= 1
SOAK_SEED ?= 0
SEEDS ?= 5
SOAK_LENGTH ?= 20s

.PHONY: help build check format-check format lint test generate tidy demo serve soak measure curve slopes

help: ## List the targets.
	@sed -n 's/^\([a-z-]*\):.*## \(.*\)/\1\t\2/p' $(MAKEFILE_LIST) | expand -t 16

$(GOLANGCI):
	GOFLAGS= GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(TOOLS)/golangci-lint $@

$(BUF):
	GOFLAGS= GOBIN=$(TOOLS) go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	mv $(TOOLS)/buf $@

$(PROTOC_GEN_GO):
	GOFLAGS= GOBIN=$(TOOLS) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)

build: ## Build bin/trefoildock and the stand-ins.
	go build -o bin/ ./cmd/... ./standin/... ./standin/soak/cmd/...

check: format-check lint test ## Formatter, linter and all tests.

format-check: $(GOLANGCI) ## Fail if a file is not formatted.
	@out=$$($(GOLANGCI) fmt --diff $(PACKAGES)); if [ -n "$$out" ]; then echo "$$out"; echo "run: make format"; exit 1; fi

format: $(GOLANGCI) ## Format all Go files.
	$(GOLANGCI) fmt $(PACKAGES)

lint: $(GOLANGCI) ## Run the linter.
	$(GOLANGCI) run $(PACKAGES)

test: ## Run all tests.
	go test -timeout 10m $(PACKAGES)

demo: build ## Run both deployments as processes through faults; exit 0 only if every promise held.
	bin/demo run

serve: build ## Leave one deployment up until Ctrl-C and print commands to try.
	bin/demo serve

slopes: build ## Measure how cost grows with size (docs/CAPACITY.md); about 2.5 minutes.
	go run ./measure/cmd/slopes --output .run/slopes.json

measure: ## Measure detection, refusals and zone moves (docs/measures.md); under 60 s.
	go run ./measure/cmd/measures --seed $(SEED) --output measures.json

curve: ## Plot detection time against false ejections (docs/detection-curve.svg); a few minutes.
	go run ./measure/cmd/curve --seed $(SEED) --output docs/detection-curve.svg

generate: $(BUF) $(PROTOC_GEN_GO) ## Regenerate the protobuf code.
	cd wire && PATH=$(TOOLS):$$PATH $(BUF) generate

tidy: ## Tidy every module.
	for m in $(MODULES); do (cd $$m && go mod tidy); done
	go work sync

soak: build ## Run the fault soak: SEEDS runs of SOAK_LENGTH from SOAK_SEED on (0: fresh seeds).
	bin/soak --seed $(SOAK_SEED) --seeds $(SEEDS) --length $(SOAK_LENGTH)
