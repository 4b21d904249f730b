VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: run test format check fuzz soak soak-stops properties

$(VENV)/.installed: pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev,measure]'
	touch $@

# Starts all processes on loopback and serves until interrupted.
run: $(VENV)/.installed
	exec env PATH="$(CURDIR)/$(BIN):$$PATH" sh scripts/run.sh

test: $(VENV)/.installed
	PATH="$(CURDIR)/$(BIN):$$PATH" sh scripts/test.sh

format: $(VENV)/.installed
	$(BIN)/pyink --quiet .
	$(BIN)/ruff check --fix .

check: $(VENV)/.installed
	$(BIN)/pyink --check --quiet .
	$(BIN)/ruff check .

# Fuzzes the control plane for 10 minutes. Prints the seed of the first random
# walk; `--seed N` repeats one.
fuzz: $(VENV)/.installed
	$(BIN)/python tests/test_fuzz_control.py --seconds 600

# Runs daemon processes under random faults; `--first N --seeds 1` repeats seed N.
soak: $(VENV)/.installed
	$(BIN)/python tests/soak.py --seeds 50 --parallel 2

# Stops daemon processes in series while callers use open connections.
soak-stops: $(VENV)/.installed
	$(BIN)/python tests/soak.py --stops --seeds 50 --parallel 2

# Lists each property with the injected faults that it detects.
properties: $(VENV)/.installed
	$(BIN)/python -m pytest -n 4 -v -k "planted or variant or property_rejects" tests
	$(BIN)/python scripts/planted_faults.py
