#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: the module harness-3, which needs nothing but the
# standard library. The cases also need the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
GOWORK=off go build -o bin/ ./cmd/...
