.DEFAULT_GOAL := help
VENV := .venv
LAYOUT := agency
PYTHON := $(VENV)/bin/python
READY := $(VENV)/.ready

.PHONY: help setup test check lint format types demo hosted days run faults bench soak reference clean

help: ## List the targets
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/' | expand -t 12

$(READY): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(READY)

setup: $(READY) ## Make the virtual environment from the lock file

test: $(READY) ## Run every test; those that watch a process's memory run alone
	$(PYTHON) -m pytest -n 6 --ignore=tests/test_crowds.py
	$(PYTHON) -m pytest tests/test_crowds.py

lint: $(READY) ## Lint, check the format
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

format: $(READY) ## Rewrite the sources in the house format
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

types: $(READY) ## Check the types strictly
	$(VENV)/bin/mypy

check: lint types test ## Everything CI checks

demo: $(READY) hosted ## Run both deployments of today on loopback
	$(PYTHON) -m examples.demo

hosted: $(READY) ## Show an entry in the mode of the users' platform
	$(PYTHON) -m examples.hosted

run: $(READY) ## Keep a deployment up until Ctrl-C; LAYOUT=council or platform for others
	@$(PYTHON) -m examples.run $(LAYOUT)

days: $(READY) ## Play our own days; BENCH and SITES name the users' bench
	$(PYTHON) -m tools.days --bench "$(BENCH)" $(DAYS_OPTIONS) $(SITES)

faults: $(READY) ## Print the fault matrix; fails on a broken cell
	$(PYTHON) -m bench.faults

bench: $(READY) ## Measure the decisions against baselines and the oracle
	$(PYTHON) -m bench.main

soak: $(READY) ## Run real entries under drawn faults; SOAK_OPTIONS sets seeds
	$(PYTHON) -m tools.soak $(SOAK_OPTIONS)

reference: $(READY) ## Write the reference pages from the code
	$(PYTHON) -m tools.reference

clean: ## Remove what the targets made
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
