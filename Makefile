PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
# Number of test files that run in parallel.
TEST_WORKERS ?= 3

.PHONY: run test check generate binary test-binary clean

$(VENV)/runtime: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

$(VENV)/development: requirements-dev.txt requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $(VENV)/runtime $@

# Starts one node with the settings of the quick start.
run: $(VENV)/runtime
	test -e run/quick-start/data/voter.json || $(BIN)/python -m filbertglade init-control --settings examples/quick-start.toml
	$(BIN)/python -m filbertglade node --settings examples/quick-start.toml

test: $(VENV)/development
	$(BIN)/python -m pytest -m 'not crowd' --numprocesses $(TEST_WORKERS) --dist loadfile
	$(BIN)/python -m pytest -m crowd

check: $(VENV)/development
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 filbertglade tests benchmarks
	$(BIN)/mypy

# Regenerates the Python modules of the inner protocol.
generate: $(VENV)/development
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. \
		--plugin=protoc-gen-grpclib_python=$(BIN)/protoc-gen-grpclib_python \
		--grpclib_python_out=. filbertglade/inner/*.proto

binary: $(VENV)/development
	rm -rf build/site dist && mkdir -p dist
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --target build/site . -r requirements.txt
	$(BIN)/shiv --compressed --console-script filbertglade \
		--python '/usr/bin/env python3' \
		--site-packages build/site --output-file dist/filbertglade

# Runs the session tests with the single-file executable.
test-binary: binary
	FILBERTGLADE_PROGRAM=dist/filbertglade $(BIN)/python -m pytest tests/test_session.py

clean:
	rm -rf $(VENV) build dist run
