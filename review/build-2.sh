#!/usr/bin/env bash
# Builds the program that the cases of the second review start: store, runners, plain servers and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/standin2 ./review/_standin2
