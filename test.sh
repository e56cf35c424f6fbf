#!/bin/bash
# Checks the formatting, runs vet and staticcheck, and runs all tests under the race detector. Needs the Go toolchain, a
# C compiler, and the modules that go.sum and tools/go.sum pin. Modules that the module cache lacks are downloaded; once
# it has all of them, no network is needed.
set -eu
cd "$(dirname "$0")"
# With -mod=readonly, only the versions in go.mod and go.sum are built, and a module that differs from them is an error.
export GOFLAGS='-buildvcs=false -mod=readonly' GOTOOLCHAIN=local GOWORK=off
# On arm64 the compiler fuses multiplications and additions unless this hash matches, and results then differ in the last bit.
if [ "$(uname -m)" = aarch64 ]; then
	GOFLAGS="$GOFLAGS -gcflags=all=-d=fmahash=qn"
fi
go mod download
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	printf 'not formatted by gofmt:\n%s\n' "$unformatted"
	exit 1
fi
go vet ./...
go tool -modfile=tools/go.mod staticcheck -checks all ./...
# KNOWN-RED.txt lists tests that fail for a real fault which is not fixed yet: one entry per line, in the form
# "Test/subtest: command; what was seen; issue". Exactly these tests are skipped, and the list is printed.
skip=()
if [ -s KNOWN-RED.txt ]; then
	printf 'known to fail, skipped:\n'
	cat KNOWN-RED.txt
	skip=(-skip "$(cut -d: -f1 KNOWN-RED.txt | sed 's|/|$/^|g; s|.*|^&$|' | paste -sd'|' -)")
fi
go test -race -count=1 "${skip[@]}" ./...
