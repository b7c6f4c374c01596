PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test soak chaos stops faults capacity format clean

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

# The random runs of the features, long: make soak SEED=7 STEPS=2000
soak: $(VENV)/dev
	PYTHONHASHSEED=0 HYSSOP_SOAK_SEED=$(or $(SEED),1) HYSSOP_SOAK_STEPS=$(or $(STEPS),500) \
		$(BIN)/python -m behave --format progress3 --tags soak tests

# Real processes under faults: make chaos SEED=7 SECONDS=60
chaos: $(VENV)/dev
	$(BIN)/python -m bench.chaos --seed $(or $(SEED),1) --seconds $(or $(SECONDS),60)

# Planned stops of real processes: make stops SEED=7 SECONDS=60 CASE=pipelines
stops: $(VENV)/dev
	test -d target/deps || $(BIN)/python -m pip install -qq --target target/deps -r requirements/runtime.txt
	$(BIN)/python -m bench.stops --seed $(or $(SEED),1) --seconds $(or $(SECONDS),60) --case $(or $(CASE),all)

# Days of faults on the model of large deployments: make faults SEED=7 DAYS=4
faults: $(VENV)/dev
	$(BIN)/python -m bench.soak --seed $(or $(SEED),1) --days $(or $(DAYS),4)

capacity: $(VENV)/dev
	$(BIN)/python -m bench.capacity

format: $(VENV)/dev
	$(BIN)/ruff check -q --fix .
	$(BIN)/ruff format -q .

clean:
	rm -rf run build dist .mypy_cache .ruff_cache .import_linter_cache .hypothesis
