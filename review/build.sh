#!/bin/bash
# Builds the stand-ins that the scripts start. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[123]/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O "$case" -o "target/review/case-$number"
done
