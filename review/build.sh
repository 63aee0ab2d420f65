#!/bin/sh
# Builds the stand-ins of all cases, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/stand ./review/testdata/stand
