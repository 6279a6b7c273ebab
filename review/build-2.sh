#!/bin/sh
# Builds the stand-in that the cases of the second review start, beside the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/client-2 ./review/.client-2
