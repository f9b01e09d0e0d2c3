// Generates a day file for the operators' bench from a seed: days with faults of the core machines.
//
//   g++ -std=c++20 -O2 -o /tmp/generate bench/days/generate.cpp      (or -DLICHENLANDING_BENCH=ON)
//   /tmp/generate --seed 7 --days 32 --core 5 --machines 1 > days.toml
//
// The same arguments give the same bytes. Each day has its own seed, so that a single day can be generated
// (--first 12 --days 1). See README.md in this directory.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace {

/// The deployment under test. Times are in seconds, counts in machines.
struct Deployment {
    int core = 3;  ///< core machines
    /// Core machines that may be lost at once; 0 if the deployment tolerates losses of zones or regions
    /// instead.
    int machines = 1;
    int zones = 0;                          ///< zones that may be lost at once
    double minLength = 32, maxLength = 90;  ///< length of a day in seconds
    bool configStorms = false;              ///< whether the deployment's contracts list config_storm
};

/// SplitMix64, which gives the same numbers on every machine and with every standard library.
class Random {
  public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    std::uint64_t next() {
        std::uint64_t z = state_ += 0x9e3779b97f4a7c15;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
        z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
        return z ^ (z >> 31);
    }
    double uniform01() { return double(next() >> 11) * 0x1p-53; }
    double uniform(double minimum, double maximum) { return minimum + (maximum - minimum) * uniform01(); }
    int integer(int minimum, int maximum) {
        return minimum + int(next() % std::uint64_t(maximum - minimum + 1));
    }
    bool withProbability(double share) { return uniform01() < share; }
    std::string choose(std::initializer_list<std::string_view> choices) {
        return std::string(*(choices.begin() + next() % choices.size()));
    }

  private:
    std::uint64_t state_;
};

/// One entry of a day, with fields as in the day file. Negative numbers and empty strings are omitted.
struct Entry {
    double at = 0;
    std::string kind;
    std::string how = {};
    bool core = false;
    int count = -1;
    double share = -1, x = -1, forS = -1, gapS = -1;  ///< forS, gapS: seconds
    bool front = false;                               ///< only on machines of proxies
};

std::string formatNumber(double value) {
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.3f", value);
    std::string output = buffer;
    while (output.back() == '0') output.pop_back();
    if (output.back() == '.') output += '0';
    return output;
}

std::string formatEntry(const Entry& entry) {
    std::string output = "  { at = " + formatNumber(entry.at) + ", kind = \"" + entry.kind + "\"";
    if (entry.core) output += ", on = \"core\"";
    if (entry.front) output += ", on = \"front\"";
    if (!entry.how.empty()) output += ", how = \"" + entry.how + "\"";
    if (entry.count >= 0) output += ", count = " + std::to_string(entry.count);
    if (entry.share >= 0) output += ", share = " + formatNumber(entry.share);
    if (entry.x >= 0) output += ", x = " + formatNumber(entry.x);
    if (entry.forS >= 0) output += ", for_s = " + formatNumber(entry.forS);
    if (entry.gapS >= 0) output += ", gap_s = " + formatNumber(entry.gapS);
    return output + " },\n";
}

class Day {
  public:
    Day(const Deployment& deployment, std::uint64_t seed)
        : deployment_(deployment), random_(seed), daySeed_(int(random_.next() >> 34)) {
        length_ = random_.withProbability(0.5)
                      ? deployment_.minLength
                      : random_.uniform(deployment_.minLength, deployment_.maxLength);
        length_ = std::floor(length_);
        faultFamily_ = random_.withProbability(0.6) ? 0 : random_.integer(1, 6);
        addOperatorActions();
        addFaults();
        if (random_.withProbability(0.4)) addBackgroundFaults();
        if (random_.withProbability(0.5)) addHarmlessFaults();
        addClosing();
    }

    std::string write(const std::string& name) const {
        std::string output =
            "[[day]]\nname = \"" + name + "\"\nslot = \"trouble\"\nseed = " + std::to_string(daySeed_);
        output += "\nlength_s = " + formatNumber(length_) +
                  "\none = 1.0\nzero = 0.0\ngoal = { floor = 0.05 }\n" + closing_;
        output += formatList("plan", plan_) + formatList("faults", faults_);
        return output + "\n";
    }

  private:
    static std::string formatList(const char* name, std::vector<Entry> entries) {
        std::stable_sort(entries.begin(), entries.end(), [](auto& a, auto& b) { return a.at < b.at; });
        std::string output = std::string(name) + " = [\n";
        for (auto& entry : entries) output += formatEntry(entry);
        return output + "]\n";
    }

    double chooseTime() { return random_.uniform(1.0, length_ - 1.0); }

    /// Chooses the kind of a configuration change.
    std::string chooseConfigChange() {
        return random_.choose({"route", "weights", "timeout", "idle", "tenant", "quota"});
    }

    /// Operator actions: a few, a steady flow, or hundreds in quick succession.
    void addOperatorActions() {
        plan_.push_back({.at = random_.uniform(0.5, 3.0), .kind = "config_change", .how = "route"});
        int pattern = random_.integer(0, 9);
        if (pattern < 4) {
            for (int n = random_.integer(2, 10); n > 0; --n)
                plan_.push_back({.at = chooseTime(), .kind = "config_change", .how = chooseConfigChange()});
        } else if (pattern < 7) {
            double gap = random_.uniform(0.8, 3.0);
            for (double at = 3; at < length_ - 1; at += gap)
                plan_.push_back({.at = at, .kind = "config_change", .how = chooseConfigChange()});
        } else {
            // A long series, so that a node that is down meanwhile has to catch up on hundreds of changes.
            double from = random_.uniform(2.0, length_ / 2), gap = random_.uniform(0.04, 0.25);
            int changeCount = random_.integer(100, 400);
            if (deployment_.configStorms && random_.withProbability(0.5))
                plan_.push_back({.at = from, .kind = "config_storm", .count = changeCount, .gapS = gap});
            else
                for (int n = 0; n < changeCount && from + n * gap < length_ - 1; ++n)
                    plan_.push_back(
                        {.at = from + n * gap, .kind = "config_change", .how = chooseConfigChange()});
        }
        for (int n = random_.integer(0, 3); n > 0; --n)
            plan_.push_back({.at = chooseTime(),
                             .kind = "config_race",
                             .count = random_.integer(1, 12),
                             .gapS = random_.uniform(0.1, 1.5)});
        for (int n = random_.integer(0, 2); n > 0; --n)
            plan_.push_back(
                {.at = chooseTime(),
                 .kind = "bad_config",
                 .how = random_.choose({"", "old_version", "same_version", "same_version", "cut_short",
                                        "unknown_service", "same_place", "no_weight", "no_timeout"}),
                 .count = random_.integer(1, 8),
                 .gapS = random_.uniform(0.1, 1.0)});
        if (random_.withProbability(0.35))
            plan_.push_back({.at = random_.uniform(1.0, std::max(2.0, length_ - 18)),
                             .kind = "rollout_good",
                             .forS = random_.uniform(13, 17)});
        if (random_.withProbability(0.25))
            plan_.push_back({.at = random_.uniform(1.0, std::max(2.0, length_ - 18)),
                             .kind = "rollout_bad",
                             .how = random_.choose({"errors", "slow", "under_load", "one_class", "late"}),
                             .share = random_.uniform(0.4, 0.7),
                             .forS = random_.uniform(13, 17),
                             .gapS = random_.uniform(1, 4)});
    }

    /// Number of machines that an entry affects: mostly one, sometimes up to as many as may be lost.
    int chooseMachineCount() {
        return deployment_.machines > 1 && random_.withProbability(0.5)
                   ? random_.integer(1, deployment_.machines)
                   : 1;
    }

    /// Modifiers of a kill, freeze or network partition: the target, the timing, and how it ends.
    std::string chooseModifiers(bool isPartition) {
        std::string how = random_.choose({"", "leader", "leader", "reader", "seed"});
        auto add = [&](const char* word) { how += (how.empty() ? "" : " ") + std::string(word); };
        switch (random_.integer(0, 4)) {
            case 0:
                add("meet");
                break;
            case 1:
                add("race");
                break;
            default:
                break;
        }
        if (!isPartition && random_.withProbability(0.15)) add("hard");
        if (random_.withProbability(0.2)) add("drain");
        return how;
    }

    /// Chooses a fault kind for addFault(): any kind, or on some days mostly kinds of one family.
    int chooseFaultKind() {
        switch (faultFamily_) {
            case 1:
                return random_.integer(5, 7);  // losses with and without the disk
            case 2:
                return 11;  // network partitions
            case 3:
                return random_.withProbability(0.5) ? random_.integer(8, 10)
                                                    : 2;  // disk faults, freezes, losses of power
            case 4:
                return random_.withProbability(0.5)
                           ? 4
                           : random_.integer(0, 7);  // loss of all machines, and similar faults
            case 5:
                return random_.withProbability(0.7) ? random_.integer(14, 15)
                                                    : random_.integer(3, 7);  // machines are replaced
            case 6:
                return random_.withProbability(0.5)
                           ? random_.integer(16, 18)
                           : random_.integer(8, 11);  // stalls, resets, slow or frozen machines, disk faults
            default:
                return random_.integer(0, 18);
        }
    }

    /// Replaces a core machine, as planned or after its permanent loss, by an empty one at another address.
    double replaceCoreMachine(double at) {
        const double after = random_.uniform(0.3, 4.0);
        if (random_.withProbability(0.5)) {
            plan_.push_back({.at = at, .kind = "replace_core", .how = "planned", .core = true, .x = after});
        } else {
            faults_.push_back({.at = at, .kind = "replace_core", .core = true, .x = after});
        }
        if (random_.withProbability(0.5))
            plan_.push_back({.at = at + random_.uniform(0, 8), .kind = "seed_turnover"});
        return after + 5;
    }

    /// Adds one fault of the core machines; returns its duration in seconds.
    double addFault(double at) {
        double forS = random_.uniform(0.3, 5.0);
        if (deployment_.machines == 0) {
            // Without tolerated machine losses, kinds that affect single machines are left out.
            switch (random_.integer(0, 3)) {
                case 0:
                    faults_.push_back({.at = at, .kind = "herd_kill", .core = true, .forS = forS});
                    return 15;
                case 1:
                    faults_.push_back({.at = at,
                                       .kind = "herd_kill",
                                       .how = random_.choose({"power", "taken"}),
                                       .core = true,
                                       .forS = forS});
                    return 15;
                case 2:
                    plan_.push_back({.at = at,
                                     .kind = "roll_term",
                                     .how = random_.choose({"", "busy", "remove busy"}),
                                     .core = true,
                                     .x = 1,
                                     .gapS = random_.uniform(0.5, 3)});
                    return 5;
                default:
                    faults_.push_back(
                        {.at = at, .kind = "node_cut", .share = random_.uniform(0.1, 0.5), .forS = forS * 2});
                    return forS * 2;
            }
        }
        switch (chooseFaultKind()) {
            case 14:
                return replaceCoreMachine(at);
            case 15:
                if (random_.withProbability(0.7)) return replaceCoreMachine(at);
                plan_.push_back({.at = at, .kind = "seed_turnover"});
                return 2;
            case 16:
                faults_.push_back(
                    {.at = at, .kind = "disk_stall", .count = chooseMachineCount(), .forS = forS * 2});
                return forS * 2;
            case 17:
                faults_.push_back({.at = at,
                                   .kind = "reset_conns",
                                   .core = true,
                                   .share = random_.uniform(0.3, 1.0),
                                   .x = random_.uniform(0.3, 1.0)});
                return 1;
            case 18:
                faults_.push_back({.at = at,
                                   .kind = "node_slow",
                                   .core = true,
                                   .count = chooseMachineCount(),
                                   .x = random_.uniform(3, 12),
                                   .forS = forS * 2});
                return forS * 2;
            case 0:
            case 1:
                faults_.push_back({.at = at,
                                   .kind = "node_kill",
                                   .how = chooseModifiers(false),
                                   .core = true,
                                   .count = chooseMachineCount(),
                                   .forS = forS});
                return forS;
            case 2: {
                std::string how = chooseModifiers(false);
                faults_.push_back({.at = at,
                                   .kind = "node_kill",
                                   .how = "power" + (how.empty() ? "" : " " + how),
                                   .core = true,
                                   .count = chooseMachineCount(),
                                   .forS = forS});
                return forS;
            }
            case 3:
                plan_.push_back({.at = at,
                                 .kind = "roll_term",
                                 .how = random_.choose({"", "busy", "remove", "remove busy"}),
                                 .core = true,
                                 .x = double(chooseMachineCount()),
                                 .gapS = random_.uniform(0.3, 3)});
                return 8;
            case 4:
                faults_.push_back({.at = at,
                                   .kind = "herd_kill",
                                   .how = random_.choose({"", "power", "off", "taken", "taken all"}),
                                   .core = true,
                                   .forS = forS});
                return 15;
            case 5:
                faults_.push_back({.at = at,
                                   .kind = "after_ack_kill",
                                   .how = random_.choose({"", "kill", "timed", "taken"}),
                                   .count = chooseMachineCount(),
                                   .forS = forS});
                return forS;
            case 6:
            case 7:
                faults_.push_back({.at = at,
                                   .kind = "after_ack_wipe",
                                   .how = random_.choose({"", "timed", "taken", "oldest"}),
                                   .count = chooseMachineCount(),
                                   .forS = forS});
                return forS;
            case 8:
                faults_.push_back(
                    {.at = at, .kind = "disk_full", .count = chooseMachineCount(), .forS = forS * 2});
                return forS * 2;
            case 9:
                faults_.push_back({.at = at,
                                   .kind = "disk_slow",
                                   .how = random_.choose({"", "leader"}),
                                   .count = chooseMachineCount(),
                                   .x = random_.uniform(10, 60),
                                   .forS = forS * 2});
                return forS * 2;
            case 10:
                faults_.push_back({.at = at,
                                   .kind = "node_freeze",
                                   .how = chooseModifiers(true),
                                   .core = true,
                                   .count = chooseMachineCount(),
                                   .forS = forS});
                return forS;
            default: {  // 11 to 13
                // Half of the partitions last long, so that an isolated node has time to distribute its
                // state.
                if (random_.withProbability(0.5))
                    forS = random_.uniform(15, std::max(16.0, std::min(35.0, length_ / 2)));
                std::string how = chooseModifiers(true),
                            which = random_.choose(
                                {"", "", "one_way", "seeds", "both", "split", "near", "oldest", "relieve"});
                if (!which.empty()) how = which + (how.empty() ? "" : " " + how);
                if (random_.withProbability(0.2))
                    how += std::string(how.empty() ? "" : " ") + random_.choose({"reset", "refuse"});
                faults_.push_back(
                    {.at = at, .kind = "core_cut", .how = how, .count = chooseMachineCount(), .forS = forS});
                if (random_.withProbability(0.4))
                    faults_.push_back({.at = at + random_.uniform(0, forS),
                                       .kind = "node_cut",
                                       .share = random_.uniform(0.1, 0.4),
                                       .forS = random_.uniform(1, forS)});
                return forS;
            }
        }
    }

    /// Faults in sequence, each during the previous one or after its end. The bench delays a fault that would
    /// exceed the tolerated losses, so that it follows right after a repair.
    void addFaults() {
        double at = random_.uniform(2, std::max(3.0, length_ / 3));
        while (at < length_ - 2) {
            double duration = addFault(at);
            at += random_.withProbability(0.3)
                      ? random_.uniform(0, duration)
                      : duration +
                            (random_.withProbability(0.6) ? random_.uniform(0, 5) : random_.uniform(3, 15));
        }
    }

    /// Faults of pods, clients and proxies, so that operator actions meet a system under load.
    void addBackgroundFaults() {
        for (int n = random_.integer(1, 3); n > 0; --n) {
            double at = chooseTime(), forS = random_.uniform(2, 6);
            switch (random_.integer(0, 15)) {
                case 8:
                    faults_.push_back({.at = at, .kind = "srv_slow", .share = 0.2, .x = 4, .forS = forS});
                    break;
                case 9:
                    faults_.push_back({.at = at,
                                       .kind = "replace_with_reuse",
                                       .how = random_.choose({"", "drain", "dark"}),
                                       .share = 0.1});
                    break;
                case 10:
                    plan_.push_back({.at = at, .kind = "scale_out", .share = 0.3, .gapS = 2});
                    break;
                case 11:
                    faults_.push_back(
                        {.at = at, .kind = "burst", .x = random_.uniform(1.3, 2.0), .forS = forS});
                    break;
                case 12:
                    faults_.push_back({.at = at, .kind = "retry_abuse", .share = 0.3, .x = 3, .forS = forS});
                    break;
                case 13: {
                    // Removed machines do not return, so only a small share is removed.
                    const std::string how = random_.choose({"", "busy", "remove"});
                    plan_.push_back({.at = at,
                                     .kind = "roll_term",
                                     .how = how,
                                     .share = how == "remove" ? 0.15 : random_.uniform(0.2, 1.0),
                                     .x = double(random_.integer(1, 3)),
                                     .gapS = random_.uniform(0.5, 2),
                                     .front = true});
                    break;
                }
                case 14:
                case 15:
                    // Pods are slow too: otherwise few requests last until their clients disconnect.
                    faults_.push_back({.at = at,
                                       .kind = "give_up",
                                       .share = random_.uniform(0.2, 1.0),
                                       .x = random_.uniform(20, 400),
                                       .forS = forS});
                    faults_.push_back({.at = at, .kind = "srv_slow", .share = 0.4, .x = 5, .forS = forS});
                    break;
                case 0:
                    plan_.push_back({.at = at, .kind = "scale_in", .share = 0.1});
                    break;
                case 1:
                    plan_.push_back({.at = at, .kind = "release", .share = 0.4, .x = 1, .gapS = 1});
                    break;
                case 2:
                    faults_.push_back({.at = at, .kind = "srv_crash", .share = 0.12, .forS = forS});
                    break;
                case 3:
                    faults_.push_back(
                        {.at = at, .kind = "answer_lost", .share = 0.45, .x = 0.025, .forS = forS});
                    break;
                case 4:
                    faults_.push_back({.at = at,
                                       .kind = "garble",
                                       .how = random_.choose({"", "extra", "unframed", "early"}),
                                       .share = 0.6,
                                       .x = 0.03,
                                       .forS = forS});
                    break;
                case 5:
                    faults_.push_back({.at = at, .kind = "herd_kill", .share = 0.5, .forS = 2});
                    break;
                case 6:
                    faults_.push_back({.at = at, .kind = "node_kill", .share = 0.2, .forS = 2});
                    break;
                default:
                    faults_.push_back({.at = at, .kind = "node_freeze", .share = 0.15, .forS = forS / 2});
                    break;
            }
        }
    }

    /// Faults that stop no machine: clock steps, signals, connection resets, lost acknowledgements.
    void addHarmlessFaults() {
        for (int n = random_.integer(1, 4); n > 0; --n) {
            const double at = chooseTime(), forS = random_.uniform(2, 12);
            switch (random_.integer(0, 4)) {
                case 0:
                    faults_.push_back(
                        {.at = at,
                         .kind = "clock_step",
                         .how = random_.choose({"back", "ahead"}),
                         .share = random_.uniform(0.2, 1.0),
                         .x = random_.withProbability(0.5) ? 3600000 : random_.uniform(500, 60000),
                         .forS = forS});
                    break;
                case 1:
                    plan_.push_back({.at = at,
                                     .kind = "hup",
                                     .share = random_.uniform(0.2, 1.0),
                                     .gapS = random_.uniform(0.1, 3)});
                    break;
                case 2:
                    faults_.push_back({.at = at,
                                       .kind = "reset_conns",
                                       .share = random_.uniform(0.1, 0.5),
                                       .x = random_.uniform(0.3, 1.0)});
                    break;
                case 3:
                    plan_.push_back({.at = at, .kind = "seed_turnover"});
                    break;
                default:
                    faults_.push_back(
                        {.at = at, .kind = "ack_lost", .x = random_.uniform(0.3, 0.9), .forS = forS});
                    break;
            }
        }
    }

    void addClosing() {
        if (random_.withProbability(0.2)) return;
        std::string kind = random_.choose({"power_off_all", "kill_all", "wipe_after_ack", "wipe_after_ack"});
        std::string how = random_.choose({"", "", "timed", "taken"});
        if (kind == "wipe_after_ack" && how.empty() && random_.withProbability(0.5)) how = "aimed";
        closing_ = "closing = { kind = \"" + kind + "\", down_s = " + formatNumber(random_.uniform(0.4, 3.0));
        if (!how.empty()) closing_ += ", how = \"" + how + "\"";
        closing_ += " }\n";
    }

    const Deployment& deployment_;
    Random random_;
    int daySeed_;
    double length_ = 0;
    int faultFamily_ = 0;  ///< of faults; 0: all kinds
    std::vector<Entry> plan_, faults_;
    std::string closing_;
};

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("Generates a day file with faults of the core machines from a seed");
    Deployment deployment;
    std::uint64_t seed = 0;
    int days = 1, first = 0;
    app.add_option("--seed", seed, "the seed of all days")->required();
    app.add_option("--days", days, "number of days")->check(CLI::Range(1, 10000));
    app.add_option("--first", first, "number of the first day")->check(CLI::NonNegativeNumber);
    app.add_option("--core", deployment.core, "core machines")->check(CLI::Range(1, 99));
    app.add_option("--machines", deployment.machines, "core machines that may be lost at once")
        ->check(CLI::Range(0, 49));
    app.add_option("--zones", deployment.zones, "zones that may be lost at once")->check(CLI::Range(0, 9));
    app.add_option("--shortest", deployment.minLength, "seconds of the shortest day")
        ->check(CLI::Range(20.0, 600.0));
    app.add_option("--longest", deployment.maxLength, "seconds of the longest day")
        ->check(CLI::Range(20.0, 600.0));
    app.add_flag("--storms", deployment.configStorms, "the deployment's contracts list config_storm");
    CLI11_PARSE(app, argc, argv);
    if (deployment.machines + 1 > deployment.core) {
        std::fprintf(stderr, "--core %d must be greater than --machines %d\n", deployment.core,
                     deployment.machines);
        return 2;
    }
    deployment.maxLength = std::max(deployment.maxLength, deployment.minLength);
    std::printf("# seed %llu, days %d to %d, %d core machines, %d of them or %d zones to be lost\n",
                static_cast<unsigned long long>(seed), first, first + days - 1, deployment.core,
                deployment.machines, deployment.zones);
    for (int n = first; n < first + days; ++n) {
        std::string name = "core-" + std::to_string(seed) + "-" + std::to_string(n);
        Random random(seed * 0x10001 + std::uint64_t(n));
        std::fputs(Day(deployment, random.next()).write(name).c_str(), stdout);
    }
}
