#!/usr/bin/env bash
# Formatter, vet, linter and all tests, under the race detector except test/crowd.
# Tests listed in KNOWN-RED.txt are printed and passed over; nothing else is.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l cmd pkg platform test)
if [ -n "$unformatted" ]; then
	echo "gofmt: run 'gofmt -w' on:" "$unformatted"
	exit 1
fi
go vet ./...
go tool staticcheck ./...

skip=()
if [ -f KNOWN-RED.txt ]; then
	names=$(sed -nE 's/^test: *([A-Za-z0-9_]+).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
	if [ -n "$names" ]; then
		echo "known red, passed over: $names"
		skip=(-skip "^($names)\$")
	fi
fi
# The tests of test/crowd measure whole processes, so they run alone. These processes are built
# without the race detector, which multiplies their memory.
crowd=$(go list ./test/crowd)
others=$(go list ./... | grep -vxF "$crowd")
go test -race -count=1 -timeout 8m "${skip[@]}" $others
go test -count=1 -timeout 8m "${skip[@]}" "$crowd"
