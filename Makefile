# make run    builds, starts a local deployment and prints an example curl command
# make test   installs missing tools and runs everything that CI runs

BINARIES := balsam-gateway balsam-entry balsam-agent balsamctl balsam-standin balsam-load

.PHONY: build test run stop generate

build:
	mkdir -p bin
	for b in $(BINARIES); do if ls cmd/$$b/*.go >/dev/null 2>&1; then go build -o bin/$$b ./cmd/$$b || exit 1; fi; done

test:
	sh scripts/test.sh

run: build
	sh scripts/run-local.sh start

stop:
	sh scripts/run-local.sh stop

generate:
	go generate ./...
