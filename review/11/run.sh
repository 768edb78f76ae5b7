#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec target/standin3 restored-store review/11/record.txt
