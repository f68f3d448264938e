PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test format demo fleet bench soak rolling outage capacity microbench
.PHONY: membership table

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python .ci/check.py $(PYTEST_ARGS)

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python -m standins.demo

fleet: setup
	$(BIN)/python -m standins.fleet --preset $(or $(PRESET),kyushu)

bench: setup
	$(BIN)/python -m standins.bench

soak: setup
	$(BIN)/python -m standins.soak --seed $(or $(SEED),1)

outage: setup
	$(BIN)/python -m standins.outage --seed $(or $(SEED),1)

rolling: setup
	$(BIN)/python -m standins.rolling --seed $(or $(SEED),1)

capacity: setup
	$(BIN)/python -m standins.capacity

microbench: setup
	$(BIN)/python -m standins.microbench

membership: setup
	$(BIN)/python -m standins.membership_bench $(MEMBERSHIP_ARGS)

table: setup
	$(BIN)/python -m standins.table_bench $(TABLE_ARGS)
