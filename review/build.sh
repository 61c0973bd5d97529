#!/usr/bin/env bash
# Builds the review's stand-ins: emulators, users and a small cloud in one program. For case 3 it also
# builds the version in production, which deploy/service.toml names, from the history; without the
# history that case starts with the present version and other settings.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
go build -tags review -o target/review/standin ./review/standin

production=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
rm -f target/review/production
if git cat-file -e "$production^{commit}" 2>/dev/null; then
  folder=$(mktemp -d)
  trap 'rm -rf "$folder"' EXIT
  git archive "$production" | tar -x -C "$folder"
  (cd "$folder" && go build -o "$root/target/review/production" ./cmd/ambersill) ||
    echo "the version in production was not built; case 3 goes without it" >&2
fi
