# Commands for contributors and operators; README.md explains them.

SEED ?= 1
MODULES = . ./cmd/persimmoncart ./cmd/persimmonctl ./cmd/persimmonfake ./cmd/persimmonload

.PHONY: all bench-overhead build demo fmt generate lint test tidy vet

all: build

bench-overhead:
	go run ./internal/overhead/run --seed=$(SEED)

build:
	go build -o bin/ ./cmd/persimmoncart ./cmd/persimmonctl ./cmd/persimmonfake ./cmd/persimmonload

demo:
	@go run ./cmd/persimmonload demo --seed=$(SEED)

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
