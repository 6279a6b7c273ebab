#!/bin/sh
# Builds the stand-ins and clients of the review's scripts.
set -e
cd "$(dirname "$0")/.."
go build -o bin/review-client ./review/.client
