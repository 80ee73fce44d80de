# VENV may name a shared environment; the default is created on first use.
VENV ?= .venv
PY := $(VENV)/bin/python
SETUP_FILES := requirements.txt requirements-dev.txt pyproject.toml
STAMP := $(VENV)/.installed-$(shell sha256sum $(SETUP_FILES) | sha256sum | cut -c1-12)
export PYTHONPATH := $(CURDIR)/src

.PHONY: run test lint format fuzz setup
setup: $(STAMP)

$(STAMP): $(SETUP_FILES)
	@test -x $(PY) || python3 -m venv $(VENV)
	@$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	@$(PY) -m pip install --quiet --disable-pip-version-check --no-deps --editable .
	@touch $@

run: $(STAMP)
	@$(PY) -m chervilrack quickstart

test: $(STAMP)
	@$(PY) tools/run_tests.py

lint: $(STAMP)
	@$(PY) -m ruff format --check src features tools
	@$(PY) -m ruff check src features tools
	@$(PY) -m mypy

format: $(STAMP)
	@$(PY) -m ruff format src features tools
	@$(PY) -m ruff check --fix src features tools

# A longer, seeded run of the property tests; CI uses the derandomized profile.
fuzz: $(STAMP)
	@CHERVILRACK_FUZZ=1 $(PY) tools/run_tests.py
