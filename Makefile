# Commands for contributors and operators; README.md explains them.

SEED ?= 1

.PHONY: all
all: build

# Measures the decision code under load; CASE, DEPLOYMENT, NODES, REPLICAS,
# TRACE and TRAFFIC are taken from the environment as well.
.PHONY: bench
bench:
	@SEED=$(SEED) CASE=$(CASE) DEPLOYMENT=$(DEPLOYMENT) NODES=$(or $(NODES),8) REPLICAS=$(or $(REPLICAS),0) go run ./internal/bench/cmd

.PHONY: bench-overhead
bench-overhead:
	@go run ./internal/overhead/run --seed=$(SEED)

.PHONY: build
build:
	go build -o bin/ ./cmd/persimmoncart ./cmd/persimmonctl ./cmd/persimmonfake ./cmd/persimmonload

# Measures the control of fleets of up to 400 instances.
.PHONY: capacity
capacity:
	@go run ./internal/capacity/cmd --seed=$(SEED) $(if $(PLOTS),--plots=$(PLOTS))

.PHONY: demo
demo:
	@go run ./cmd/persimmonload demo --seed=$(SEED)

# Runs schedules of faults; BREAK names an invariant whose guard is switched off.
.PHONY: faults
faults:
	@cd internal/faults && go test -count=1 -timeout=10m -run '^TestMatrix$$' -args -report -seed=$(SEED) -runs=$(or $(RUNS),$(if $(BREAK),8,70)) -break=$(BREAK)

.PHONY: fmt
fmt:
	tools/lint fmt

.PHONY: generate
generate:
	tools/generate

.PHONY: lint
lint:
	tools/lint run

# Runs the real program as processes under random faults; SEEDS, BREAK, LENGTH,
# INSTANCES, PARALLEL and QUOTAS are taken from the environment as well. QUOTAS=0
# leaves out the limits of accounts.
.PHONY: soak
soak: build
	@go run ./internal/soak/run --seed=$(SEED) --seeds=$(or $(SEEDS),1) --length=$(or $(LENGTH),8s) --instances=$(or $(INSTANCES),4) --parallel=$(or $(PARALLEL),2) --break=$(BREAK) $(if $(LOGS),--logs=$(LOGS)) $(if $(filter 0,$(QUOTAS)),,--quotas)

.PHONY: test
test:
	go test -race work

.PHONY: tidy
tidy:
	tools/tidy

.PHONY: vet
vet:
	go vet work
