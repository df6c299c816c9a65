#!/bin/sh
# Builds the stand-ins of the cases into review/bin. They are a module of their own, of the standard library only, in a
# folder that the project's tests and linters pass over.
set -e
cd "$(dirname "$0")/testdata"
mkdir -p ../bin
GOFLAGS=-mod=mod GOWORK=off CGO_ENABLED=0 go build -o ../bin/ ./cmd/...
