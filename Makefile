# Two commands do all set-up: `make demo` and `make test`.
LINT_VERSION := v2.15.0
LINT := .tools/golangci-lint

.PHONY: demo test check unit build generate bench measure capacity mutants fuzz

build:
	go build -o bin/ ./cmd/...

demo:
	./demo/run.sh

test: check unit

check: $(LINT)
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "run gofmt -w on these files"; exit 1; }
	go vet ./...
	$(LINT) run ./...

unit:
	go test -race -timeout 20m ./...

$(LINT):
	GOBIN=$(CURDIR)/.tools go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

# Needs protoc and protoc-gen-go; the generated code is committed.
generate:
	protoc --go_out=. --go_opt=module=shedkeel.org/shedkeel wire/wire.proto

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Builds the project without one mechanism after another, and checks that the
# test which proves it then fails.
mutants:
	go test -tags mutants -timeout 30m -run TestMutants -v .
