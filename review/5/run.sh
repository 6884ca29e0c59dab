#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec python3 -B review/5/case.py
