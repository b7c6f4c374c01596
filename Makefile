PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test format clean

# The runtime set alone; enough for the daemons and the demo.
$(VENV)/runtime: requirements/runtime.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -qq -r requirements/runtime.txt
	$(BIN)/python -m pip install -qq --no-deps --no-build-isolation -e .
	touch $@

$(VENV)/dev: $(VENV)/runtime requirements/dev.txt
	$(BIN)/python -m pip install -qq -r requirements/dev.txt
	touch $@

demo: $(VENV)/runtime
	scripts/demo.sh

test: $(VENV)/dev
	$(BIN)/python scripts/check.py

format: $(VENV)/dev
	$(BIN)/ruff check -q --fix .
	$(BIN)/ruff format -q .

clean:
	rm -rf run build dist .mypy_cache .ruff_cache .import_linter_cache .hypothesis
