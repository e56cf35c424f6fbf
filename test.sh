#!/bin/bash
# Formatting, vet, and all tests under the race detector. Needs the Go tool chain and a C compiler, and the modules
# that go.sum pins: they are fetched where the module cache lacks them, and without a network once it has them.
set -eu
cd "$(dirname "$0")"
# Read only: go.mod and go.sum alone say which versions are built, and a module that is not what they pin fails.
export GOFLAGS='-buildvcs=false -mod=readonly' GOTOOLCHAIN=local GOWORK=off
go mod download
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	printf 'not formatted by gofmt:\n%s\n' "$unformatted"
	exit 1
fi
go vet ./...
# KNOWN-RED.txt lists tests that fail for a real fault which is not mended yet: "TestName: cause, issue", one a line.
# These alone are passed over.
skip=()
if [ -s KNOWN-RED.txt ]; then
	printf 'known to fail, passed over:\n'
	cat KNOWN-RED.txt
	skip=(-skip "^($(cut -d: -f1 KNOWN-RED.txt | paste -sd'|' -))\$")
fi
go test -race -count=1 "${skip[@]}" ./...
