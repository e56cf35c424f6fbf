#!/bin/sh
# Builds the stand-ins of the second review's cases. Run it from anywhere, after the build
# of the deploy file. Needs the Go toolchain and no network.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../bin/review-standin-2 .
