#!/bin/sh
# Builds the stand-ins of the second review. They need the standard library only; run after the build of
# deploy/system.toml, with the compiler that the build uses.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standins review/standins-2/main.rs
