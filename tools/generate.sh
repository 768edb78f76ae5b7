#!/usr/bin/env bash
# Regenerates the wire types from api/. Needs protoc (Debian: protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin/" tool)
for name in caller operator backend platform; do
  "$bin/ogen" --config api/ogen.yml --target "internal/wire/${name}api" --package "${name}api" --clean "api/$name.yaml"
done
mkdir -p internal/wire/entrypb
PATH="$bin:$PATH" protoc -I api \
  --go_out=. --go_opt=module=daisystage.example/daisystage \
  --go-grpc_out=. --go-grpc_opt=module=daisystage.example/daisystage \
  entry.proto
"$bin/go-jsonschema" --only-models --package wire --tags json --output platform/wire/wire_gen.go platform/wire/schema.json
