PACKAGES = g++ cmake ninja-build python3 clang-format clang-tidy \
  libboost1.81-dev libdocopt-dev libgoogle-glog-dev librapidcheck-dev \
  prometheus-cpp-dev libcereal-dev libsimpleini-dev libxxhash-dev \
  libgtest-dev libbenchmark-dev zlib1g-dev libspdlog-dev
SUDO = $(shell [ $$(id -u) = 0 ] || echo sudo)
export RC_PARAMS ?= seed=20261204 max_success=200

.PHONY: install build demo test asan tsan lint format bench capacity

install:
	@$(SUDO) apt-get update -qq && \
	  $(SUDO) env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES) >/dev/null

build: install
	@cmake --preset release >/dev/null && cmake --build --preset release

demo: build
	scripts/run-scenario bench/scenarios/demo-melaka.ini --verbose

test: build
	scripts/run-tests

asan:
	@cmake --preset asan >/dev/null && cmake --build --preset asan --target damaskwalk-tests
	build/asan/damaskwalk-tests

tsan:
	@cmake --preset tsan >/dev/null && cmake --build --preset tsan --target damaskwalk-tests
	build/tsan/damaskwalk-tests

lint:
	scripts/lint

format:
	git ls-files '*.cpp' '*.h' | xargs clang-format -i

bench: build
	scripts/run-bench

capacity: build
	scripts/capacity
