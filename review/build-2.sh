#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10, with the standard library only. agate-site is
# built as deploy/system.toml says: cargo build --release --locked -p agate-site
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 review/second.rs -o target/review-2/stand
