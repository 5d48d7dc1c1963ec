# Two commands do all set-up: `make demo` and `make test`.
LINT_VERSION := v2.15.0
LINT := .tools/golangci-lint

.PHONY: demo test check unit packages timed scenarios soak crowd build generate bench measure capacity mutants fuzz

build:
	go build -o bin/ ./cmd/...

demo:
	./demo/run.sh

test: check unit

check: $(LINT)
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "run gofmt -w on these files"; exit 1; }
	go vet ./...
	$(LINT) run ./...

# Tests that measure how soon something happens, or whose answers have 20 ms of real time.
TIMED := ^(TestControlOff|TestRandomCuts|TestReportsTellOfEvents|TestSlowGroupIsNoStall|TestSpreaderRejects)$$

# The timed tests, the scenarios, the soak and the crowds run by themselves, so that no other test's
# load becomes theirs.
unit: packages timed scenarios soak crowd

packages:
	go test -race -timeout 20m -skip '$(TIMED)' $$(go list ./... | grep -v -e '^shedkeel.org/shedkeel$$' -e '/soak$$' -e '/crowd$$')

timed:
	go test -race -timeout 10m -p 1 -parallel 3 -run '$(TIMED)' ./node

scenarios:
	go test -race -timeout 20m .

soak:
	go test -timeout 10m ./soak

crowd:
	go test -timeout 15m ./crowd

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

# Measures planners, routing, spread and real keepers, and prints the tables
# of docs/CAPACITY.md and docs/DESIGN.md. Takes about 15 minutes.
measure: capacity
	go test -run TestTrace -v -timeout 20m ./group -days 20
	go test -run TestRoutingRules -v ./route -loads
	go test -run TestOverhead -v . -overhead

capacity: build
	PATH="$(CURDIR)/bin:$$PATH" go test -run 'TestCapacity|TestStateSizes' -v -timeout 10m . -capacity
	go test -run 'TestSpread$$' -v -timeout 10m ./member -sizes

fuzz:
	go test -run '^$$' -fuzz FuzzSettings -fuzztime 20s ./config
	go test -run '^$$' -fuzz FuzzDocument -fuzztime 20s ./config
	go test -run '^$$' -fuzz FuzzPolicy -fuzztime 20s ./policy
	go test -run '^$$' -fuzz FuzzEvents -fuzztime 20s ./engine
	go test -run '^$$' -fuzz FuzzHead -fuzztime 20s ./intake
	go test -run '^$$' -fuzz FuzzCompletion -fuzztime 20s ./entry
	go test -run '^$$' -fuzz FuzzCall -fuzztime 20s ./wire
	go test -run '^$$' -fuzz FuzzGossip -fuzztime 20s ./wire
	go test -run '^$$' -fuzz FuzzServerLimit -fuzztime 20s ./platform
	go test -run '^$$' -fuzz FuzzSharedParts -fuzztime 20s ./platform
	go test -run '^$$' -fuzz FuzzAnswer -fuzztime 20s ./platform
