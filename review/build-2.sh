#!/usr/bin/env bash
# Builds the stand-ins of the second review. They use the standard library only, so no registry is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-name standin -o target/review-2/standin review/standin-2/main.rs
