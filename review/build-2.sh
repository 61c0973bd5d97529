#!/bin/sh
# Builds the stand-ins that the scripts in review/4 and after it start.
set -e
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2/standin2 ./review/standin2
