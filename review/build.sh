#!/bin/sh
# Builds the stand-ins of the review's cases. It needs no network.
cd "$(dirname "$0")/standin" || exit 2
mkdir -p ../bin && GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -buildvcs=false -o ../bin/standin .
