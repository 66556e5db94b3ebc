#!/bin/sh
# Builds the stand-ins that the scripts of this review start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/standins
mkdir -p target/standins
cp -r src/bayhinge_standins target/standins/bayhinge_standins
python3 -m compileall -q target/standins
