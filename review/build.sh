#!/usr/bin/env bash
# Builds the review's stand-ins: emulators, users and a small cloud in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standin ./review/standin
