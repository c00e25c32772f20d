#!/usr/bin/env bash
# Builds the stand-ins of the second review and the project's own that it uses.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_2.py carobsail soak
for case in review/*/case_2.py; do
  python3 -m compileall -q "$case"
done
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c "import review.standins_2"
