VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: test demo bench format clean

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

test: $(STAMP)
	$(PYTHON) -m tests.run

demo: $(STAMP)
	$(PYTHON) -m bench.demo

bench: $(STAMP)
	$(PYTHON) -m bench.run

format: $(STAMP)
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

clean:
	rm -rf $(VENV) build *.egg-info .mypy_cache .ruff_cache
