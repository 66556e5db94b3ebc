#!/usr/bin/env bash
# Plays this folder's days on a site of the users' bench, where it is to be had.
set -u
bench="${FLEETBENCH:-}"
site="${SITE:-}"
if [ -z "$bench" ] || [ ! -x "$bench" ] || [ -z "$site" ]; then
  echo "days: not run; set FLEETBENCH to the bench's program and SITE to a site file"
  exit 0
fi
for day in tests/data/days/*.toml; do
  "$bench" run "$site" "$day" --why "a day of our own: $(basename "$day" .toml)" || exit 1
done
