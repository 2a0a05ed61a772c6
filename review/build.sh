#!/usr/bin/env bash
# Builds the stand-ins and the cases; needs rustc and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/harness.rs -o target/review/harness
