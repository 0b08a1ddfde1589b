#!/usr/bin/env bash
# Builds the stand-ins and clients of all cases. The programs of the deploy file must have been built before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/cases
