# Commands for contributors and operators; README.md explains them.

SEED ?= 1
NODES ?= 400
CHANGES ?= 200
MODULES = . ./cmd/persimmoncart ./cmd/persimmonctl ./cmd/persimmonfake ./cmd/persimmonload

.PHONY: # $(NODES),8) $(REPLICAS),0) --seed=$(SEED) ./internal/bench/cmd ./internal/overhead/run @SEED=$(SEED) CASE, CASE=$(CASE) DEPLOYMENT, DEPLOYMENT=$(DEPLOYMENT) Measures NODES, NODES=$(or REPLICAS, REPLICAS=$(or TRACE TRAFFIC all all: and are as bench bench-overhead bench-overhead: bench: build code config-bench decision demo environment fmt from generate go lint load; run taken test the tidy under vet well.

build:
	go build -o bin/ ./cmd/persimmoncart ./cmd/persimmonctl ./cmd/persimmonfake ./cmd/persimmonload

demo:
	@go run ./cmd/persimmonload demo --seed=$(SEED)

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
