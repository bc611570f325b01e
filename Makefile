GOLANGCI_LINT_VERSION := v2.15.0
LINT := bin/golangci-lint

.PHONY: build check lint test generate demo bench slopes soak

build: ## build every program into bin/
	go build -o bin/ ./cmd/...

$(LINT):
	GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

lint: $(LINT) ## formatter and linter
	$(LINT) fmt --diff
	$(LINT) run ./...

test: build ## every test
	go test -count=1 $(if $(SKIP),-skip '$(SKIP)') ./...

check: test ## what the README calls the tests

generate: ## regenerate internal/gen from proto/
	go tool -modfile=tools/buf/go.mod buf lint
	go tool -modfile=tools/buf/go.mod buf generate

bench: ## every load scenario at both sizes: JSON lines on stdout, a table on stderr
	@$(MAKE) -s build >&2
	@scripts/bench.sh

slopes: ## what each process costs per task and against the size of the fleet
	@$(MAKE) -s build >&2
	@scripts/slopes.sh

SEEDS ?= 1000
FROM ?= 1

soak: ## long randomised run of the decision cores: make soak SEEDS=n FROM=k
	go test ./internal/model -count=1 -timeout 0 -run TestRandomRuns -v -seeds $(SEEDS) -from $(FROM)

demo: build ## a fleet on loopback, shown through the command line
	@scripts/demo.sh
