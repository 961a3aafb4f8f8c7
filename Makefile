# Shortcuts over CMake; `make setup demo' and `make test' are all a newcomer
# needs.
BUILD ?= build
DEPLOYMENT ?= coteau
PACKAGES = build-essential cmake pkg-config clang-format clang-tidy cppcheck \
	liburcu-dev libmsgpack-dev libglib2.0-dev libinih-dev libjansson-dev \
	libcurl4-openssl-dev libxxhash-dev libmicrohttpd-dev

.PHONY: all setup packages demo test bench measure propagation capacity clean

all:
	cmake -S . -B $(BUILD) $(CMAKE_FLAGS) >/dev/null
	cmake --build $(BUILD) -j

packages:
	apt-get update -q
	apt-get install -y -q --no-install-recommends $(PACKAGES)

setup: packages all

demo: all
	test/demo.sh $(BUILD) $(DEPLOYMENT)

test: all
	ctest --test-dir $(BUILD) --output-on-failure -j $(shell nproc)

# Prints the tables that docs/MEASUREMENTS.md quotes.
measure: all
	$(BUILD)/test/measure/measure

propagation: all
	$(BUILD)/test/propagation/propagation $(SIZES)

clean:
	rm -rf $(BUILD)

bench: all
	$(BUILD)/test/bench/bench

capacity: all
	$(BUILD)/test/capacity/capacity
	test/capacity/idle.sh $(BUILD)
