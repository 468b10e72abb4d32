# Thin front for CMake and the scripts; see README.md.
BUILD ?= build
SEED ?= 1
SIZE ?= target

SAN_BUILD ?= build-sanitize

.PHONY: all deps build test test-sanitize fuzz run format format-check lint bench bench-cell bench-capacity soak soak-edge install clean

all: build

deps:
	@scripts/install-deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_EXPORT_COMPILE_COMMANDS=ON > /dev/null
	@cmake --build $(BUILD)

test: build
	@scripts/run-tests $(BUILD)

# Unit tests and short property runs under address and undefined-behaviour sanitizers.
test-sanitize: deps
	@cmake -S . -B $(SAN_BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DGR_SANITIZE=ON > /dev/null
	@cmake --build $(SAN_BUILD)
	@scripts/run-sanitized $(SAN_BUILD)

# Mutated input for every decoder; INPUTS and SEED select a longer run.
INPUTS ?= 300000
fuzz: test-sanitize
	@ASAN_OPTIONS=detect_leaks=0 GR_FUZZ_INPUTS=$(INPUTS) GR_FUZZ_SEED=$(SEED) $(SAN_BUILD)/test_fuzz

run: build
	@scripts/run-demo $(BUILD)

bench: build
	@$(BUILD)/gr-bench --seed $(SEED) --size $(SIZE)

bench-cell: build
	@scripts/bench-cell $(BUILD)

bench-capacity: build
	@scripts/bench-capacity $(BUILD)

soak: build
	@scripts/run-soak $(BUILD) $(SEED)

# Real daemons under faults, 40 s a seed; FAULTS and SECONDS_EACH as in the script.
SEEDS ?= 1 2 3
soak-edge: build
	@scripts/run-edge-soak $(BUILD) $(SEEDS)

format:
	@git ls-files '*.c' '*.h' '*.cc' '*.hh' | xargs clang-format -i

format-check:
	@git ls-files '*.c' '*.h' '*.cc' '*.hh' | xargs clang-format --dry-run -Werror

lint: build
	@scripts/run-lint $(BUILD)

install: build
	@cmake --install $(BUILD)

clean:
	rm -rf $(BUILD)
