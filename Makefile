PYTHON ?= python3.11
VENV := .venv
# Tests listed in KNOWN-RED.txt are passed over; the CI script prints the list.
KNOWN_RED := $(shell sed -n 's/^test: /--deselect=/p' KNOWN-RED.txt 2>/dev/null)
STAMP := $(VENV)/.installed

.PHONY: setup demo test format lint check generate archive check-archive

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --editable .
	touch $(STAMP)

demo: setup
	$(VENV)/bin/basilwick demo

test: setup
	$(VENV)/bin/python -m pytest $(KNOWN_RED)

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

check: test lint

# Regenerates the committed protobuf modules; needed only after messages.proto changes.
generate: setup
	$(VENV)/bin/python -m grpc_tools.protoc --proto_path=. --python_out=. \
		--grpclib_python_out=. \
		--plugin=protoc-gen-grpclib_python=$(VENV)/bin/protoc-gen-grpclib_python \
		basilwick/transport/messages.proto

# One file that holds the program and its libraries; needs a Python 3.11 interpreter.
# A build directory left by an earlier build would add modules removed since.
archive: setup
	rm -rf build
	mkdir -p dist
	$(VENV)/bin/shiv --quiet --reproducible --console-script basilwick \
		--output-file dist/basilwick --constraint requirements.lock .

check-archive: archive
	$(VENV)/bin/python -m pytest checks/test_archive.py
