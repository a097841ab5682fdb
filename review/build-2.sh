#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/, without a network: its module has no
# dependency. The scripts also need target/hollowgrade, which the command of deploy/system.toml builds.
set -euo pipefail
cd "$(dirname "$0")/second"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-second ./cmd/review-second
