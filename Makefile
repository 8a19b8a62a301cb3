# `make demo` and `make test` do all set-up themselves, in an environment of the checkout's own.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
SET_UP := $(VENV)/.set-up

.PHONY: demo test lint format clean

$(SET_UP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip -q install --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip -q install --disable-pip-version-check --no-deps -e .
	touch $(SET_UP)

demo: $(SET_UP)
	$(BIN)/pebblehinge lab day bad-day

# The formatter's layout, the linter's rules, the types. What is not held to all of them yet stands in pyproject.toml.
lint: $(SET_UP)
	$(BIN)/ruff format --no-cache --check .
	$(BIN)/ruff check --no-cache .
	$(BIN)/mypy --strict

format: $(SET_UP)
	$(BIN)/ruff check --no-cache --select I --fix .
	$(BIN)/ruff format --no-cache .

test: $(SET_UP) lint
	PYTHONDONTWRITEBYTECODE=1 $(BIN)/python tests/known_red.py -n auto --maxprocesses 3 --dist worksteal

clean:
	rm -rf $(VENV) .mypy_cache build *.egg-info
