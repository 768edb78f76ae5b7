#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec target/standin3 left-owners review/12/record.txt
