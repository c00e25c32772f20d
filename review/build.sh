#!/usr/bin/env bash
# Builds the stand-ins of the scripts, which need the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q .
