# Set-up, demo and tests; needs only Python 3.11 and pip.
PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/installed

.PHONY: demo test format wire

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --editable '.[test]'
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/python -m standins.demo

test: $(STAMP)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/python -m tests.run

format: $(STAMP)
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

wire: $(STAMP)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --editable '.[test,wire]'
	cd cactusshed/wire && ../../$(VENV)/bin/python -m grpc_tools.protoc -I. \
		--python_out=. --grpc_python_out=. control.proto
	sed -i 's/^import control_pb2/from . import control_pb2/' \
		cactusshed/wire/control_pb2_grpc.py
