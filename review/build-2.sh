#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: the project's own and the harness.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
(cd standin && go build -o ../bin/ ./...)
(cd review/harness-2 && GOWORK=off go build -o ../../bin/review-2 .)
