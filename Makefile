# `make demo` and `make test` do all the set-up by themselves, on a machine with Python 3.11 or newer.
VENV ?= .venv-dev
BIN = $(VENV)/bin

# Of `make soak`: the first seed, the number of seeds in a row, how many run at the same time, and further options
# (--pauses, --busy-connections; of `make hostile-soak` --crowds).
SEED ?= 1
SEEDS ?= 50
JOBS ?= 3
OPTIONS ?=

.PHONY: demo test lint bench soak hostile-soak clean

demo: $(VENV)/ready
	$(BIN)/python -m apigateway demo

# Side by side: each test has ports, folders and processes of its own, and waits for events. Four: some start a dozen
# gateways, and what asks them should not want for a core.
test: lint
	$(BIN)/python -m pytest -q -n 4 --dist worksteal

# Gateways that end while clients, hosts and signals misbehave. CI plays the first few seeds.
soak: $(VENV)/ready
	$(BIN)/python -m apigateway.tools.shutdown_soak.main --seed $(SEED) --runs $(SEEDS) --jobs $(JOBS) $(OPTIONS)

# Gateways beside clients that abuse them: floods, crowds, ids that come again. CI plays the first few seeds.
hostile-soak: $(VENV)/ready
	$(BIN)/python -m apigateway.tools.hostile_soak.main --seed $(SEED) --runs $(SEEDS) --jobs $(JOBS) $(OPTIONS)

lint: $(VENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

$(VENV)/ready: requirements.txt requirements-daemon.txt requirements-tools.txt requirements-dev.txt
	python3 -m venv $(VENV)
	$(BIN)/pip -q install -r requirements-dev.txt
	touch $@

clean:
	rm -rf $(VENV) .pytest_cache .mypy_cache .ruff_cache .import_linter_cache
