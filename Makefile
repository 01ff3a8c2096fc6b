PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test lint format measure soak

.venv/ready: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q -r requirements-dev.txt
	$(BIN)/pip install -q --no-deps -e .
	touch $@

demo: .venv/ready
	$(BIN)/python -m tools.demo

test: .venv/ready
	$(BIN)/python -m pytest

lint: .venv/ready
	$(BIN)/black --check -q . || ($(BIN)/black --diff -q . ; exit 1)
	$(BIN)/ruff check .
	$(BIN)/python -m tools.imports

format: .venv/ready
	$(BIN)/ruff check --fix-only -q .
	$(BIN)/black -q .

measure: .venv/ready
	$(BIN)/python -m bench measure

soak: .venv/ready
	$(BIN)/python -m soak --seeds 10
