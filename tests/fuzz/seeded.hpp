// Runs a fuzz target without libFuzzer, e.g. in CI, on mutations of given inputs with a fixed seed. The first
// byte of an input selects the parser and is not mutated.
#pragma once

#include <cstdint>
#include <cstdio>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

inline int runSeededMutations(const std::vector<std::string>& seeds,
                              std::span<const std::string_view> dictionary, int rounds) {
    std::mt19937 random(17);
    for (int round = 0; round < rounds; ++round) {
        auto input = seeds[random() % seeds.size()];
        for (auto mutations = 1 + random() % 6; mutations > 0; --mutations) {
            const auto position = 1 + random() % input.size();
            switch (random() % 4) {
                case 0:
                    if (position < input.size()) input[position] = static_cast<char>(random());
                    break;
                case 1:
                    input.insert(std::min(position, input.size()), dictionary[random() % dictionary.size()]);
                    break;
                case 2:
                    if (position < input.size()) input.erase(position, 1 + random() % 12);
                    break;
                default: {
                    const auto from = 1 + random() % input.size();
                    const auto fragment = input.substr(std::min(from, input.size()), random() % 40);
                    input.insert(std::min(position, input.size()), fragment);
                }
            }
        }
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
    }
    std::printf("%d mutated inputs, none broke an invariant\n", rounds);
    return 0;
}
