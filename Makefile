MODULES := . ./experiment ./standin
# Seeds of the short soak in CI; by hand:
# make soak SOAK="--seed 1 --count 50 --parallel 6 --faults silence,versions,leaving,retry-after,limits,trouble,parts,requests,stops,restart,sessions,copies,entries".
SOAK    ?= --seed 1 --count 3 --parallel 3 --rounds 1 --faults silence,versions,leaving,retry-after,limits,trouble,parts,requests,stops,restart,sessions,copies,entries
GO      := go
# The tests that KNOWN-RED.txt lists, as a regular expression: test passes over them,
# known-red runs them and prints their result without a verdict. Empty if there are none.
KNOWN_RED := ^TestStreamsAfterARestartOfAllRouters$$
KNOWN_RED_PACKAGES := ./entry
# The package whose tests run one at a time, after all others.
ALONE := ./crowd

.PHONY: check build boundary fmt vet lint test soak spec spec-large known-red setup demo clean \
	bench bench-capacity bench-loadunit bench-mean bench-overload bench-placement bench-prompts capacity

check: setup fmt vet lint boundary build test soak spec known-red

build:
	$(GO) build -o bin/ ./cmd/...
	cd standin && $(GO) build -o ../bin/ ./...

fmt:
	@out=$$(gofmt -l $(MODULES)); test -z "$$out" || { echo "gofmt: $$out"; exit 1; }

vet:
	@for m in $(MODULES); do (cd $$m && $(GO) vet ./...) || exit 1; done

lint:
	@for m in $(MODULES); do \
	  (cd $$m && $(GO) tool staticcheck ./...) || exit 1; \
	  (cd $$m && $(GO) tool revive -config $(CURDIR)/tools/revive.toml ./...) || exit 1; \
	done

test:
	@for m in $(MODULES); do (cd $$m && $(GO) test -race $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') \
	  $$($(GO) list ./... | grep -v '/$(notdir $(ALONE))$$')) || exit 1; done
	@$(GO) test -race $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $(ALONE)

boundary:
	scripts/check-boundary

soak:
	$(GO) run ./soak/cmd/soak $(SOAK)

spec:
	spec/check

spec-large:
	spec/check large

bench-placement:
	cd experiment && $(GO) run ./cmd/bench-placement -out ../docs

bench-prompts:
	cd experiment && $(GO) run ./cmd/bench-prompts -out ../docs

bench-overload:
	cd experiment && $(GO) run ./cmd/bench-overload -out ../docs

bench-loadunit:
	cd experiment && $(GO) run ./cmd/bench-loadunit -out ../docs

bench-mean:
	cd experiment && $(GO) run ./cmd/bench-mean -out ../docs

# Measures the slopes of state, then writes the tables of docs/CAPACITY.md.
bench-capacity:
	cd experiment && $(GO) run ./cmd/capacity -measure -docs ../docs

# Writes the tables of docs/CAPACITY.md from the slopes at hand.
capacity:
	cd experiment && $(GO) run ./cmd/capacity -docs ../docs

known-red:
	@cat KNOWN-RED.txt
	@test -z '$(KNOWN_RED)' || $(GO) test -race -count 1 -p 1 -timeout 2m -run '$(KNOWN_RED)' $(KNOWN_RED_PACKAGES) 2>&1 | \
	  sed -nE 's/^(ok|FAIL.|panic:|--- FAIL).*/known-red: &/p'

setup:
	@scripts/setup gcc curl

demo: setup
	@scripts/demo

bench: setup
	$(GO) test -run '^$$' -bench . -benchtime 1x -timeout 30m ./bench

clean:
	@if [ -e run/ids ]; then scripts/fleet down; fi
	rm -rf bin run
