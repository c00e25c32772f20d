# One command each: `make demo` runs the main job, `make test` the tests.
VENV ?= .venv
PYTHON ?= python3

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -e '.[test]'
	touch $@

.PHONY: install demo test check bench soak
install: $(VENV)/installed

demo: install
	$(VENV)/bin/python -m carobsail.demo

test: install
	$(VENV)/bin/python -m pytest

check: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

# Real programs under faults; SEEDS=1,2,3 plays these, MINUTES of faults each.
MINUTES ?= 0.5
INSTANCES ?= 7
soak: install
	$(VENV)/bin/python -m soak --seeds="$(SEEDS)" --minutes=$(MINUTES) \
	  --instances=$(INSTANCES)

bench: install
	$(VENV)/bin/python -m bench.all
