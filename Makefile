# Targets documented in the README. Each also performs the setup that it needs.
BUILD ?= build
JOBS ?= $(shell nproc)
SECONDS ?= 20
PACKAGES = $(shell cat deploy/packages.txt)

.PHONY: all setup configure test demo bench lint format

all: configure
	cmake --build $(BUILD) -j $(JOBS)

setup:
	@if ! dpkg -s $(PACKAGES) >/dev/null 2>&1; then \
	  apt-get update && \
	  apt-get install -y --no-install-recommends $(PACKAGES); fi

configure: setup
	@cmake -S . -B $(BUILD) -G Ninja >$(BUILD).log 2>&1 || \
	  { cat $(BUILD).log; exit 1; }
	@rm -f $(BUILD).log

test: all
	ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: all
	tests/daemon/processes.sh $(abspath $(BUILD)) $(SECONDS)

bench: all
	cmake --build $(BUILD) --target bench

SOURCES = $(shell git ls-files --cached --others --exclude-standard \
  'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h' 'bench/*.cpp' 'bench/*.h')

format: setup
	clang-format -i $(SOURCES)

lint: configure
	clang-format --dry-run --Werror $(SOURCES)
	printf '%s\n' $(filter %.cpp,$(SOURCES)) | \
	  xargs -P $(JOBS) -n 1 clang-tidy --quiet -p $(BUILD)
