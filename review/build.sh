#!/usr/bin/env bash
# Builds the program of the cases, with its stand-ins for the store, runners and clients. Its sources are
# kept as text, so that 'make check', the tests and CI don't take them in; an overlay shows them to the compiler
# as Go files, and none is written to the tree.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
overlay=$(mktemp)
trap 'rm -f "$overlay"' EXIT
separator=
{
	printf '{"Replace":{'
	for source in review/standin/*.go.txt; do
		printf '%s"%s":"%s"' "$separator" "${source%.txt}" "$source"
		separator=,
	done
	printf '}}\n'
} >"$overlay"
go build -overlay "$overlay" -o review/bin/ ./review/standin
