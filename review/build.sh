#!/bin/sh
# Builds the stand-ins of the review's scripts; they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
