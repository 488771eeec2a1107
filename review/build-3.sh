#!/bin/bash
# Builds the stand-in of the scripted case 12, and of two without a folder. It needs the build of the deploy file, and
# no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/standin-3 ./review/standin-3
