PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := fescueyard tests benchmarks demo build_binary.py

.PHONY: demo test lint format bench binary clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m demo

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/ruff format --check $(SOURCES)

format: $(STAMP)
	$(BIN)/ruff format $(SOURCES)

bench: $(STAMP)
	$(BIN)/python -m benchmarks

binary: $(STAMP)
	$(BIN)/python -m build_binary

clean:
	rm -rf $(VENV) build dist
