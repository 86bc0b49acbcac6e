# Short commands, as the README lists them; CMake does the build.
BUILD ?= build
POLICY ?= keepers
SEED ?= 1
SECONDS ?= 20

.PHONY: all deps build check demo soak experiment failures bench capacity format lint clean sanitize man

all: build

deps:
	@scripts/install-deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@cmake --build $(BUILD) > $(BUILD)/build.log 2>&1 \
	  || { cat $(BUILD)/build.log; exit 1; }

check: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

sanitize: deps
	@cmake -S . -B build-asan -G Ninja -DGBD_SANITIZE=ON > /dev/null
	@cmake --build build-asan > build-asan/build.log 2>&1 \
	  || { cat build-asan/build.log; exit 1; }
	@ctest --test-dir build-asan --output-on-failure -j 4

man: build
	@$(BUILD)/gooseberrydrum help man > docs/gooseberrydrum.1

demo: build
	@scripts/demo $(BUILD) $(POLICY)

soak: build
	@scripts/soak $(BUILD) $(SEED) $(SECONDS)

experiment: build
	@scripts/experiment $(BUILD) $(BUILD)/experiment \
	  "probes 6 --probe-servers" "no-probes 6"

failures: build
	@scripts/failures $(BUILD)

bench: build
	@scripts/bench $(BUILD)

capacity: build
	@scripts/capacity $(BUILD)

format:
	@scripts/format

lint: build
	@scripts/lint $(BUILD)

clean:
	rm -rf build build-asan
