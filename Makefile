# `make demo` and `make test` are all a newcomer needs; see README.md.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test soak days dense bench capacity generate clean format

$(VENV)/installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

demo: $(VENV)/installed
	$(BIN)/bayhinge demo

test: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache
	$(BIN)/python -m pytest

# Real processes under faults from outside; each run draws fresh seeds and prints the first.
SEEDS ?= 10
soak: $(VENV)/installed
	$(BIN)/python -m tests.soak.run --seeds $(SEEDS)

# Days of our own (deploy/days) on the users' bench; says so where the bench is absent.
days: $(VENV)/installed
	$(BIN)/python -m tests.dense.play

# Draws days whose faults overlap operations and plays them; what breaks a rule is cut down and kept
# in deploy/days. Says so where the bench is absent.
FIRST ?= 1
dense: $(VENV)/installed
	$(BIN)/python -m tests.dense.days --days 20 --first $(FIRST) --into build/dense
	$(BIN)/python -m tests.dense.hunt --days 20 --first $(FIRST)

bench: $(VENV)/installed
	$(BIN)/bayhinge bench path
	$(BIN)/bayhinge bench recovery
	$(BIN)/bayhinge bench decisions
	$(BIN)/bayhinge bench config

capacity: $(VENV)/installed
	$(BIN)/bayhinge bench capacity --write docs/capacity-own-interface.md

format: $(VENV)/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# The generated code is committed, so that nobody needs the thrift compiler to build.
generate:
	for f in idl/*.thrift; do thrift --gen py:slots,enum -out src $$f; done
	rm -f src/__init__.py
	git checkout -- src/bayhinge/__init__.py src/bayhinge/coordination/__init__.py src/bayhinge/_internal/__init__.py src/bayhinge/_internal/wire/__init__.py

clean:
	rm -rf $(VENV) build src/*.egg-info .mypy_cache .ruff_cache
