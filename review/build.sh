#!/bin/sh
# Builds the stand-ins of the cases into review/target/. Needs no network.
set -eu
cd "$(dirname "$0")/harness"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../target/ ./cmd/...
