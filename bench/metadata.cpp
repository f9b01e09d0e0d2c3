// Benchmarks of signed metadata: refresh, target lookup, signature verification, and the delegation index
// against a linear search. Uses 100,000 targets in 16,384 hash bins, as in a large installation.
#include <benchmark/benchmark.h>
#include <sys/resource.h>

#include <iterator>

#include "support/metadata_repository.hpp"

using namespace metadata_fixture;

namespace {

constexpr int kBinBits = 14, kTargetCount = 100'000;

double peakMemoryMegabytes() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return static_cast<double>(used.ru_maxrss) / 1024;
}

std::string pathOf(int target) { return "files/" + std::to_string(target) + ".json"; }

// A repository with hash bins, all signed with one key.
struct BinRepository {
    BinRepository() {
        const auto key = SigningKey::generate(Scheme::ed25519);
        const HashBins bins{{{key.key().id()}, 1}, kBinBits, "bin"};
        std::map<std::string, std::vector<int>> byBin;
        for (int target = 0; target < kTargetCount; ++target)
            byBin[bins.roleOf(digest("sha256", pathOf(target)))].push_back(target);
        delegateBins(repository.role("targets"), bins, {key.key()});
        repository.markChanged("targets");
        for (const auto& [name, targets] : byBin) {
            auto envelope = newTargets(kStart + 90 * kDay);
            for (const auto target : targets) addTarget(envelope, pathOf(target), "bytes");
            sign(envelope, key);
            repository.writeFile(name, 1, textOf(envelope));
            addListing(repository.snapshot, name + ".json", listingOf(1, "", false));
        }
        repository.publish();
    }
    Repository repository;
};

const BinRepository& bins() {
    static const BinRepository made;
    return made;
}

// A first refresh: root, timestamp, a snapshot of 16,385 roles, targets, and one bin.
void refreshOfBins(benchmark::State& state) {
    const auto& files = bins().repository.files;
    std::size_t bytes = 0;
    for (auto _ : state) {
        Client client(bins().repository.firstRoot());
        benchmark::DoNotOptimize(client.update(files, kStart + 60, {pathOf(7)}));
        if (client.listingRole(pathOf(7)) == "-") state.SkipWithError("not found");
        bytes = 0;
        for (const auto& name : client.requestedPaths)
            if (files.count(name)) bytes += files.at(name).size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["peak_MB"] = peakMemoryMegabytes();
}

// A refresh without changes: only the timestamp is fetched, the rest is read from the store.
void refreshWithoutNews(benchmark::State& state) {
    Client client(bins().repository.firstRoot());
    client.update(bins().repository.files, kStart + 60, {pathOf(7)});
    for (auto _ : state)
        benchmark::DoNotOptimize(client.update(bins().repository.files, kStart + 60, {pathOf(7)}));
}

// Lookups of 100 targets in different bins, after an accepted update.
void lookUps(benchmark::State& state) {
    const auto& files = bins().repository.files;
    for (auto _ : state) {
        state.PauseTiming();
        Client client(bins().repository.firstRoot());
        auto set = TrustedSet::start(bins().repository.firstRoot(), kStart);
        Update update(std::move(*set), client.stored);
        const auto runUpdate = [&] {
            while (update.next().kind == Update::NextAction::fetch) {
                const auto file = files.find(update.next().path);
                if (file == files.end()) update.notFound();
                else update.receive(file->second);
                client.stored.apply(update.takeTransactions());
            }
        };
        runUpdate();
        state.ResumeTiming();
        for (int target = 0; target < 100; ++target) update.search(pathOf(target * 977));
        runUpdate();
        if (update.next().kind != Update::NextAction::done) state.SkipWithError("refused");
    }
    state.SetItemsProcessed(state.iterations() * 100);
}

// All 100,000 targets in one role.
void readOneRole(benchmark::State& state) {
    auto envelope = newTargets(kStart + kDay);
    for (int target = 0; target < kTargetCount; ++target) addTarget(envelope, pathOf(target), "bytes");
    const auto key = SigningKey::generate(Scheme::ed25519);
    sign(envelope, key);
    const auto text = textOf(envelope);
    for (auto _ : state) {
        const auto read = Envelope::read(text, "targets", "targets", text.size());
        if (!read || !Targets::read(*read, "targets")) state.SkipWithError("refused");
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * text.size()));
    state.counters["peak_MB"] = peakMemoryMegabytes();
}

void verifications(benchmark::State& state) {
    const auto key = SigningKey::generate(static_cast<Scheme>(state.range(0)));
    const std::string message(1024, 'm');
    const auto signature = key.sign(message);
    for (auto _ : state)
        if (!key.key().verifies(message, signature)) state.SkipWithError("not verified");
    state.SetItemsProcessed(state.iterations());
}

// Delegations of one role to `count` roles, by path pattern or by hash prefix: as an index and as a list that
// is searched linearly.
struct Delegations {
    explicit Delegations(int count, bool byPattern) {
        int digits = 0;
        while ((1 << (4 * digits)) < count) ++digits;
        for (int role = 0; role < count; ++role) {
            std::string prefix(static_cast<std::size_t>(digits), '0');
            for (int digit = 0; digit < digits; ++digit)
                prefix[static_cast<std::size_t>(digits - 1 - digit)] =
                    "0123456789abcdef"[role >> (4 * digit) & 15];
            if (byPattern)
                patterns.push_back({"team" + std::to_string(role) + "/*/file-?.json"}),
                    prefixes.emplace_back();
            else patterns.emplace_back(), prefixes.push_back({prefix});
            index.add(static_cast<std::uint32_t>(role), patterns.back(), prefixes.back());
        }
        index.seal();
        for (int lookup = 0; lookup < 1000; ++lookup) {
            paths.push_back("team" + std::to_string(lookup * 7919 % count) + "/x/file-1.json");
            hashes.push_back(digest("sha256", paths.back()));
        }
    }
    std::vector<std::uint32_t> linearSearch(const std::string& path, const std::string& hash) const {
        std::vector<std::uint32_t> found;
        for (std::uint32_t role = 0; role < patterns.size(); ++role) {
            bool matches = false;
            for (const auto& pattern : patterns[role]) matches = matches || patternMatches(pattern, path);
            for (const auto& digits : prefixes[role])
                matches = matches || hash.compare(0, digits.size(), digits) == 0;
            if (matches) found.push_back(role);
        }
        return found;
    }
    std::vector<std::vector<std::string>> patterns, prefixes;
    DelegationIndex index;
    std::vector<std::string> paths, hashes;
};

void delegationsByIndex(benchmark::State& state) {
    const Delegations made(static_cast<int>(state.range(0)), state.range(1));
    std::size_t at = 0;
    for (auto _ : state) {
        if (made.index.matching(made.paths[at], made.hashes[at]).size() > 1) state.SkipWithError("too many");
        at = (at + 1) % made.paths.size();
    }
    state.SetItemsProcessed(state.iterations());
}

void delegationsByWalk(benchmark::State& state) {
    const Delegations made(static_cast<int>(state.range(0)), state.range(1));
    std::size_t at = 0;
    for (auto _ : state) {
        const auto found = made.linearSearch(made.paths[at], made.hashes[at]);
        if (found != made.index.matching(made.paths[at], made.hashes[at])) state.SkipWithError("they differ");
        at = (at + 1) % made.paths.size();
    }
    state.SetItemsProcessed(state.iterations());
}

}  // namespace

BENCHMARK(delegationsByIndex)->ArgsProduct({{16, 1024, 16384}, {0, 1}});
BENCHMARK(delegationsByWalk)->ArgsProduct({{16, 1024, 16384}, {0, 1}});
BENCHMARK(verifications)->Arg(0)->Arg(1)->Arg(2);
BENCHMARK(refreshOfBins)->Unit(benchmark::kMillisecond);
BENCHMARK(refreshWithoutNews)->Unit(benchmark::kMillisecond);
BENCHMARK(lookUps)->Unit(benchmark::kMillisecond);
BENCHMARK(readOneRole)->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();
