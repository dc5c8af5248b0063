#!/bin/sh
# Builds the stand-ins and scripts of the third review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/drill review/standins-3/main.rs
rustc --edition 2024 -O -o target/review-3/streams review/standins-3/streams/main.rs
