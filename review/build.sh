#!/bin/sh
# Builds the stand-ins that the scripts start. The deploy file's build must have run before.
cd "$(dirname "$0")/.." && go build -o target/review-standin ./review/_standin
