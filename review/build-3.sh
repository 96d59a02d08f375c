#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in early_answers deadly frozen_version; do
    rustc --edition 2024 -O -o "target/review-3/$source" "review/standins-3/$source.rs"
done
