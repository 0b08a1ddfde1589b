#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the programs that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/rig3 ./review/rig3
