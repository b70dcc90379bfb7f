VENV ?= .venv
PY = $(VENV)/bin/python

.PHONY: install demo test bench slopes soak format

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(PY) || python3.11 -m venv $(VENV)
	$(PY) -m pip install -q --require-hashes -r requirements.lock
	$(PY) -m pip install -q --no-deps --no-build-isolation -e .
	touch $@

install: $(VENV)/.installed

demo: install
	$(PY) -m standins.demo

test: install
	$(VENV)/bin/ruff format --check src tests standins bench soak
	$(VENV)/bin/ruff check src tests standins bench soak
	$(PY) -m pytest

slopes: install
	$(PY) -m bench.slopes
bench: install
	$(PY) -m bench.deployment --deployment tangle-free
	$(PY) -m bench.deployment --deployment luz-de-palco

soak: install
	PYTHONPATH=src:. $(PY) -m soak --first 1 --last 10
	PYTHONPATH=src:. $(PY) -m soak --first 1 --last 10 --announced

format: install
	$(VENV)/bin/ruff format src tests standins bench soak
	$(VENV)/bin/ruff check --fix src tests standins bench soak
