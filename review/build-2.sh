#!/bin/sh
# Builds the stand-ins of the second review: the platform's store and API for promotions, the
# backends and the clients, one program with a case for each script. It needs no network.
set -eu
cd "$(dirname "$0")/standin-2"
go vet ./...
go build -o ../../target/review-standin-2 .
