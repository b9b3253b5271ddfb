#!/usr/bin/env bash
# Builds the stand-ins of the cases. target/hkedge comes from the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/stand ./review/stand
