#!/usr/bin/env bash
# Prints a pattern for go test that matches exactly the named test.
set -euo pipefail
sed 's#[][\\.*+?^$(){}|]#\\&#g; s#/#$/^#g; s#^#^#; s#$#$#' <<<"$1"
