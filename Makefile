# `make demo` and `make test` do all set-up themselves, in an environment of the checkout's own.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
SET_UP := $(VENV)/.set-up

.PHONY: demo test clean

$(SET_UP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip -q install --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip -q install --disable-pip-version-check --no-deps -e .
	touch $(SET_UP)

demo: $(SET_UP)
	$(BIN)/pebblehinge lab day bad-day

test: $(SET_UP)
	$(BIN)/ruff check --no-cache .
	PYTHONDONTWRITEBYTECODE=1 $(BIN)/python tests/known_red.py -n auto --maxprocesses 3 --dist worksteal

clean:
	rm -rf $(VENV) build *.egg-info
