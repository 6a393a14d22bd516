#!/usr/bin/env bash
# Builds the program that plays the cases, into target/review. It contains every stand-in.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/rig ./review/testdata/rig
