#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec target/standin3 last-unlisted review/13/record.txt
