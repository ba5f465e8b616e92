.PHONY: build test test-busy soak mutants bench lint run fuzz

# How the controller is built stands in deploy/balancer.toml, for here and the platform alike.
build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

# RED is an expression for tests that fail for a known fault (KNOWN-RED.txt), which CI passes over.
test:
	go test -race -count=1 -timeout 900s $(if $(RED),-skip '$(RED)') ./...

# With SEEDS, so many plays of the soak of shutdowns, or of the one that SOAK names, from the seed FIRST on, and nothing else.
soak:
ifdef SEEDS
	CHERRYRELAY_SOAK=1 CHERRYRELAY_SEEDS=$(SEEDS) CHERRYRELAY_FIRST=$(FIRST) go test -race -count=1 -timeout 60m -run $(or $(SOAK),SoakShutdowns) -v ./cmd/cherryrelay
else
	CHERRYRELAY_SOAK=1 go test -count=1 -timeout 60m -run Soak -v ./...
endif

# The tests beside BUSY processes that keep a core each busy; they are started and ended here, by id.
test-busy:
	.ci/beside-load $(or $(BUSY),6) $(MAKE) test RED='$(RED)'

# Takes mechanisms out of the sources one by one (internal/mutants): tests must fail for each. MUTANT is one, or the beginning of several names.
mutants:
	go run ./internal/mutants/cmd -name '$(MUTANT)' -parallel $(or $(PARALLEL),2) -skip "$$(.ci/known-red 2>/dev/null)"

bench:
	go test -run '^$$' -bench . -benchmem ./control ./internal/...

lint:
	test -z "$$(gofmt -l $$(git ls-files '*.go' ':!journal/**'))"
	go vet ./...
	go tool staticcheck ./...

run: build
	LB_CONFIG=$${LB_CONFIG:-example/config.json} bin/cherryrelay

fuzz:
	for p in ring http1 jsonl sip websocket inifile lists/poolfile; do go test -run '^$$' -fuzz . -fuzztime 10s ./internal/$$p || exit 1; done
