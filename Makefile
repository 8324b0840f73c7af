PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed
SECONDS ?= 60
PROFILE ?= meridian
SEED ?= 1

.PHONY: test lint format bench demo serve setup proto soak report

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m nose2

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/check_imports.py
	$(BIN)/mypy --cache-dir=/dev/null sycamorehollow tools benches

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

bench: $(STAMP)
	$(BIN)/python -m benches

demo: $(STAMP)
	@$(BIN)/python -m tools.demo --profile $(PROFILE)

serve: $(STAMP)
	@$(BIN)/python -m tools.serve --profile $(PROFILE) --seconds $(SECONDS)

proto: $(STAMP)
	$(BIN)/python -m grpc_tools.protoc -I . --python_out=. --grpc_python_out=. sycamorehollow/peering/peering.proto

soak: $(STAMP)
	$(BIN)/python -m tests.soak --seed $(SEED)

report: $(STAMP)
	$(BIN)/python -m tools.report
