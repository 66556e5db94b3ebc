#!/usr/bin/env bash
# Runs the case whose folder is given; see review/build.sh for what has to be built before.
set -euo pipefail
folder="$(cd "$1" && pwd)"
cd "$(dirname "$0")/../.."
if [ ! -d target/deps/bayhinge ] || [ ! -d target/standins/bayhinge_standins ]; then
    echo "build the deploy file and run review/build.sh first" >&2
    exit 2
fi
export PYTHONPATH="target/deps:target/standins:.:review/common"
exec python3 -S "$folder/case.py" "$folder/record.txt"
