#!/usr/bin/env bash
# Builds the program of the cases, with its stand-ins for the store, runners and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/standin
