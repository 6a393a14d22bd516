#!/bin/sh
# Builds what the scripts of the second review start, apart from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/rig ./review/second/testdata/rig
