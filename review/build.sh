#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. It needs nothing but the Go toolchain.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../target/review-cases ./cmd/cases
