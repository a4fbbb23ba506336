# `make demo` and `make test` need python3 and make, and nothing before.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := core utilities decisions configuration store peers transport daemon command standins soak
KEEP ?=
SECONDS ?= 300

.PHONY: setup demo test check unit scenarios fuzz bench bench-quick format clean

setup: $(STAMP)

$(STAMP): requirements/development.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements/development.txt
	$(BIN)/python -m pip install --quiet --config-settings editable_mode=compat --no-build-isolation --no-deps $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

check: $(STAMP)
	$(BIN)/ruff format --check packages platform
	$(BIN)/ruff check packages platform
	$(BIN)/mypy packages
	MYPYPATH=platform $(BIN)/mypy platform
	$(BIN)/python -m bilberryridge.standins.purity
	$(BIN)/python -m bilberryridge.standins.property_checks

unit: $(STAMP)
	$(BIN)/python -m pytest -n 4
	$(BIN)/python -m pytest -n 4 -c platform/pytest.ini platform

scenarios: $(STAMP)
	$(BIN)/python -m bilberryridge.standins.scenarios

test: check unit scenarios

fuzz: $(STAMP)
	$(BIN)/python -m bilberryridge.standins.fuzz $(SECONDS)

demo: $(STAMP)
	$(BIN)/python -m bilberryridge.standins.demo $(if $(KEEP),--keep)

bench: $(STAMP)
	$(BIN)/python -m bilberryridge.standins.bench --name full

bench-quick: $(STAMP)
	$(BIN)/python -m bilberryridge.standins.bench --quick --name quick

format: $(STAMP)
	-$(BIN)/ruff check --fix packages platform
	$(BIN)/ruff format packages platform

clean:
	rm -rf $(VENV) var
