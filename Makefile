# Commands for contributors and operators; README.md explains them.

SEED ?= 1
MODULES = . ./cmd/persimmoncart ./cmd/persimmonctl ./cmd/persimmonfake ./cmd/persimmonload

.PHONY: all build capacity fmt generate lint test tidy vet

all: build

build:
	go build -o bin/ ./cmd/persimmoncart ./cmd/persimmonctl ./cmd/persimmonfake ./cmd/persimmonload

# Measures fleets of up to 400 instances; PLOTS=docs/plots draws the slopes.
capacity:
	go run ./internal/capacity/cmd --seed $(SEED) $(if $(PLOTS),--plots $(PLOTS))

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
