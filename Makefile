# Commands for contributors and operators; README.md explains them.

SEED ?= 1
NODES ?= 400
CHANGES ?= 200
MODULES = . ./cmd/persimmoncart ./cmd/persimmonctl ./cmd/persimmonfake ./cmd/persimmonload

.PHONY: all build config-bench fmt generate lint test tidy vet

all: build

build:
	go build -o bin/ ./cmd/persimmoncart ./cmd/persimmonctl ./cmd/persimmonfake ./cmd/persimmonload

config-bench:
	go run ./internal/configbench/run --nodes=$(NODES) --changes=$(CHANGES) --seed=$(SEED)

fmt:
	tools/lint fmt

generate:
	tools/generate

lint:
	tools/lint run

test:
	go test -race work

tidy:
	tools/tidy

vet:
	go vet work
