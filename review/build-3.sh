#!/bin/bash
# Builds the stand-in of the scripted cases 12 and 13, and of one without a folder. It needs the build of the deploy file, and
# no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/standin-3 ./review/standin-3
