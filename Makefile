PYTHON ?= python3
VENV = .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/installed

.PHONY: demo test lint format binary measures clean

$(STAMP): requirements/development.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements/development.txt
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m egretcart demo

test: $(STAMP)
	$(BIN)/python tools/run_tests.py

lint: $(STAMP)
	$(BIN)/ruff format --check egretcart platform tests tools examples
	$(BIN)/ruff check egretcart platform tests tools examples
	$(BIN)/flake8 egretcart platform tools examples
	$(BIN)/mypy
	MYPYPATH=platform:. $(BIN)/mypy platform/adapter

format: $(STAMP)
	$(BIN)/ruff check --fix egretcart platform tests tools examples
	$(BIN)/ruff format egretcart platform tests tools examples

binary: $(STAMP)
	$(BIN)/python tools/build_binary.py

measures: $(STAMP)
	$(BIN)/python tools/experiment.py

clean:
	rm -rf $(VENV) dist build *.egg-info
