#!/bin/sh
# Runs the script of one case: run_case.sh NUMBER
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/bayhinge ] && [ -d target/standins/bayhinge_standins ] || {
    echo "build the deploy file and review/build-2.sh first" >&2
    exit 2
}
PYTHONPATH="target/deps:target/standins:.:review/common-2" exec python3 -S "review/$1/case.py"
