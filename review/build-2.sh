#!/bin/sh
# Builds what the cases from 6 on start besides the programs of the deploy file: one driver with all stand-ins. It needs no
# network where the deploy file's build has run.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -buildvcs=false -o bin/review2 ./review/drive2/testdata
