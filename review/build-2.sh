#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/testdata/second/*/; do
  name=$(basename "$case")
  [ "$name" = kit ] || go build -o "target/review-2/$name" "./review/testdata/second/$name"
done
