.PHONY: build test soak bench lint run fuzz

# How the controller is built stands in deploy/balancer.toml, for here and the platform alike.
build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

# RED is an expression for tests that fail for a known fault (KNOWN-RED.txt), which CI passes over.
test:
	go test -race -count=1 -timeout 480s $(if $(RED),-skip '$(RED)') ./...

# One test at a time and some minutes each. The soak of shutdowns plays SEEDS seeds from FIRST on; RUN=Shutdowns plays that alone.
soak:
	CHERRYRELAY_SOAK=1 CHERRYRELAY_SEEDS=$(SEEDS) CHERRYRELAY_FIRST=$(FIRST) go test -count=1 -timeout 60m -run 'Soak$(RUN)' -v ./...

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
