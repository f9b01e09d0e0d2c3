# What a developer types. deploy/balancer.toml holds what operators run.
.PHONY: build test sanitize lint run clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j4

test:
	cmake -B build-tests -DCMAKE_BUILD_TYPE=Release -DLICHENLANDING_TESTS=ON
	cmake --build build-tests -j4
	ctest --test-dir build-tests --output-on-failure

# The same tests under the address and undefined-behaviour sanitizers.
sanitize:
	cmake -B build-asan -DCMAKE_BUILD_TYPE=Debug -DLICHENLANDING_TESTS=ON "-DCMAKE_CXX_FLAGS=-fsanitize=address,undefined -fno-sanitize-recover=undefined"
	cmake --build build-asan -j4
	ctest --test-dir build-asan --output-on-failure

lint:
	clang-format --dry-run -Werror $$(git ls-files '*.cpp' '*.hpp')
	cppcheck --quiet --std=c++20 --error-exitcode=1 --enable=warning,performance --inline-suppr --suppress=internalAstError -Isrc src

run: build
	exec build/lichenlanding

clean:
	rm -rf build build-tests build-asan
