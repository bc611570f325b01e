GOLANGCI_LINT_VERSION := v2.15.0
LINT := bin/golangci-lint

.PHONY: build check lint test generate demo bench slopes soak

build: ## build every program into bin/
	go build -o bin/ ./cmd/...

$(LINT):
	GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

lint: $(LINT) ## check the format and run the linter
	$(LINT) fmt --diff
	$(LINT) run ./...

test: build ## run all tests
	go test -count=1 $(if $(SKIP),-skip '$(SKIP)') ./...

check: test ## run what the README describes as the tests

generate: ## regenerate internal/gen from proto/
	go tool -modfile=tools/buf/go.mod buf lint
	go tool -modfile=tools/buf/go.mod buf generate

bench: ## run every load scenario at both fleet sizes: JSON lines on stdout, a table on stderr
	@$(MAKE) -s build >&2
	@scripts/bench.sh

slopes: ## measure the resource usage of each process per task and by fleet size
	@$(MAKE) -s build >&2
	@scripts/slopes.sh

SEEDS ?= 1000
FROM ?= 1

soak: ## long randomised simulation of the control logic: make soak SEEDS=n FROM=k
	go test ./internal/model -count=1 -timeout 0 -run TestRandomRuns -v -seeds $(SEEDS) -from $(FROM)

demo: build ## demonstrate a fleet on loopback through the command line
	@scripts/demo.sh
