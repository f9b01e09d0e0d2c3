# What a developer types. deploy/balancer.toml holds what operators run.
JOBS ?= 4
.PHONY: build test sanitize bench fuzz lint run clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DLICHENLANDING_GATEWAY=ON
	cmake --build build -j4

test:
	cmake -B build-tests -DCMAKE_BUILD_TYPE=Release -DLICHENLANDING_TESTS=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON
	cmake --build build-tests -j$(JOBS)
	ctest --test-dir build-tests --output-on-failure

# The same tests under the address and undefined-behaviour sanitizers.
sanitize:
	cmake -B build-asan -DCMAKE_BUILD_TYPE=Debug -DLICHENLANDING_TESTS=ON "-DCMAKE_CXX_FLAGS=-fsanitize=address,undefined -fno-sanitize-recover=undefined"
	cmake --build build-asan -j4
	ctest --test-dir build-asan --output-on-failure

bench:
	cmake -B build-bench -DCMAKE_BUILD_TYPE=Release -DLICHENLANDING_BENCH=ON
	cmake --build build-bench -j4
	build-bench/lichenlanding_bench_metadata
	build-bench/lichenlanding_bench_refresh

fuzz:
	cmake -B build-fuzz -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_COMPILER=clang++ -DLICHENLANDING_FUZZ=ON "-DCMAKE_CXX_FLAGS=-fsanitize=fuzzer-no-link,address,undefined"
	cmake --build build-fuzz -j4 --target lichenlanding_fuzz_metadata --target lichenlanding_fuzz_gateway
	mkdir -p build-fuzz/corpus build-fuzz/corpus-gateway
	build-fuzz/lichenlanding_fuzz_metadata -max_total_time=60 -max_len=4096 build-fuzz/corpus
	build-fuzz/lichenlanding_fuzz_gateway -max_total_time=60 -max_len=4096 build-fuzz/corpus-gateway

# Every static check, as in CI. Needs no build, only the tests' compilation database.
lint:
	cmake -B build-tests -DCMAKE_BUILD_TYPE=Release -DLICHENLANDING_TESTS=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON
	JOBS=$(JOBS) tools/lint.sh build-tests

run: build
	exec build/lichenlanding

clean:
	rm -rf build build-tests build-asan build-bench build-fuzz
