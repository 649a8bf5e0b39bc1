PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core daemon cli testing
SEED ?= 1
SECONDS ?= 30

.PHONY: deps test demo bench chaos soak mutations check format idl clean

deps: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps \
		$(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

test: deps
	$(BIN)/python -m pytest tests

check: deps
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: deps
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: deps
	$(BIN)/python -m mulberryslip_testing.demo

bench: deps
	$(BIN)/python -m mulberryslip_testing.bench
	$(BIN)/python -m mulberryslip_testing.paths
	PYTHONPATH=platform $(BIN)/python -m mulberryslip_testing.config_checks --adapter=mulberryslip_platform

chaos: deps
	$(BIN)/python -m mulberryslip_testing.chaos --seed=$(SEED)

soak: deps
	cd tests && ../$(BIN)/python soak.py --seed=$(SEED) --seconds=$(SECONDS)

# Removes one mechanism at a time on a copy of the tree; its test must then fail.
mutations: deps
	$(BIN)/python -m mulberryslip_testing.mutations

# Needs the thrift compiler 0.17; the generated code is committed, so builds do not.
idl:
	rm -rf build/idl && mkdir -p build/idl
	thrift -r --gen py -out build/idl idl/mulberryslip.thrift
	cp build/idl/mulberryslip/wire/*.py packages/core/src/mulberryslip/wire/

clean:
	rm -rf $(VENV) build
