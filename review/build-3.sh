#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The build of the deploy file must have run.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/standin3
