#!/bin/sh
# Builds the stand-ins of the cases into review/bin. They need the standard library only.
set -e
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOWORK=off go build -o bin/ ./cmd/...
