#!/usr/bin/env bash
# Copies the project's stand-ins beside the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/standins
rm -rf target/standins/bayhinge_standins
cp -r src/bayhinge_standins target/standins/bayhinge_standins
python3 -m compileall -q target/standins
