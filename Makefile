# make run: set up and start a whole local system.  make test: set up and run the tests.
PORT ?= 8080
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: events run soak test generate check-generated format lint bench-batch bench-mix bench-fleet bench-worth capacity

$(READY): pyproject.toml requirements.lock
	@$(PYTHON) -m venv $(VENV)
	@$(BIN)/python -m pip install -q -r requirements.lock
	@$(BIN)/python -m pip install -q --no-deps -e .
	@touch $(READY)

# Its only line on standard output is the one with ready_url.
run: $(READY)
	@exec $(BIN)/fescuedock local --port=$(PORT)

test: $(READY)
	$(BIN)/python -W error::ResourceWarning tools/run_tests.py

# Fifty seeds by hand; SEEDS=100-120 takes others, which nobody has run yet.
SEEDS ?= 1-50
soak: $(READY)
	$(BIN)/python -m tests.soak --seeds=$(SEEDS) --seconds=12

generate: $(READY)
	$(BIN)/python tools/generate.py

events: $(READY)
	$(BIN)/python tools/list_events.py

check-generated: $(READY)
	$(BIN)/python tools/generate.py --check

format: $(READY)
	$(BIN)/black -q src tests bench tools deploy

lint: $(READY)
	$(BIN)/black -q --check src tests bench tools deploy
	$(BIN)/ruff check -q src tests bench tools deploy

bench-batch: $(READY)
	$(BIN)/python -m bench.batch

bench-mix: $(READY)
	$(BIN)/python -m bench.mix

bench-worth: $(READY)
	$(BIN)/python -m bench.worth

bench-fleet: $(READY)
	$(BIN)/python -m bench.fleet

capacity: $(READY)
	$(BIN)/python -m bench.capacity
