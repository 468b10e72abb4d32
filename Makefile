# Thin front for CMake and the scripts; see README.md.
BUILD ?= build
SEED ?= 1
SIZE ?= target

.PHONY: all deps build test run format format-check lint bench bench-cell bench-capacity soak install clean

all: build

deps:
	@scripts/install-deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_EXPORT_COMPILE_COMMANDS=ON > /dev/null
	@cmake --build $(BUILD)

test: build
	@scripts/run-tests $(BUILD)

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

format:
	@git ls-files '*.c' '*.h' '*.cc' | xargs clang-format -i

format-check:
	@git ls-files '*.c' '*.h' '*.cc' | xargs clang-format --dry-run -Werror

lint: build
	@scripts/run-lint $(BUILD)

install: build
	@cmake --install $(BUILD)

clean:
	rm -rf $(BUILD)
