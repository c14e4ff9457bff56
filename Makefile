MODULES := . ./experiment ./standin
GO      := go

.PHONY: bench-loadunit bench-placement bench-overload bench-mean spec-large check build fmt vet lint test spec known-red demo bench clean setup

check: setup fmt vet lint build test spec known-red

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
	@for m in $(MODULES); do (cd $$m && $(GO) test -race ./...) || exit 1; done

spec:
	@if [ -x spec/check ]; then spec/check; fi

spec-large:
	spec/check large

bench-placement:
	cd experiment && $(GO) run ./cmd/bench-placement -out ../docs

bench-overload:
	cd experiment && $(GO) run ./cmd/bench-overload -out ../docs

bench-loadunit:
	cd experiment && $(GO) run ./cmd/bench-loadunit -out ../docs

bench-mean:
	cd experiment && $(GO) run ./cmd/bench-mean -out ../docs

known-red:
	@cat KNOWN-RED.txt

setup:
	@scripts/setup gcc curl

demo: setup
	@scripts/demo

bench: setup
	$(GO) test -run '^$$' -bench . -benchtime 1x -timeout 30m ./bench

clean:
	@if [ -e run/ids ]; then scripts/fleet down; fi
	rm -rf bin run
