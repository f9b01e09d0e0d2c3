// Without libFuzzer: mutations of real inputs by a fixed seed, through the same function, in CI. The first
// byte of an input chooses the reader and stays.
#pragma once

#include <cstdint>
#include <cstdio>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

inline int runSeededMutations(const std::vector<std::string>& seeds, std::span<const std::string_view> words,
                              int rounds) {
    std::mt19937 chance(17);
    for (int round = 0; round < rounds; ++round) {
        auto input = seeds[chance() % seeds.size()];
        for (auto times = 1 + chance() % 6; times > 0; --times) {
            const auto at = 1 + chance() % input.size();
            switch (chance() % 4) {
                case 0:
                    if (at < input.size()) input[at] = static_cast<char>(chance());
                    break;
                case 1:
                    input.insert(std::min(at, input.size()), words[chance() % words.size()]);
                    break;
                case 2:
                    if (at < input.size()) input.erase(at, 1 + chance() % 12);
                    break;
                default: {
                    const auto from = 1 + chance() % input.size();
                    const auto piece = input.substr(std::min(from, input.size()), chance() % 40);
                    input.insert(std::min(at, input.size()), piece);
                }
            }
        }
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
    }
    std::printf("%d mutated inputs, none broke an invariant\n", rounds);
    return 0;
}
