// Plain types that the door and the decisions share. Nothing here decides.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <string>
#include <vector>

namespace lichenlanding {

using Nanos = std::int64_t;  // a time or a span, in whole nanoseconds

enum class Effect { repeatable, tagged, mutating };
enum class Reach { all, zone, cell };  // which pods drop the repeats of a tagged hit
enum class Outcome { delivered, errored, saturated, overdue, unreached, severed, recalled, superseded };
enum class Verdict { none, on, hold, back };
enum class Standing { trial, goingBack, released, withdrawn };
enum class Control { single, majority, clocked };
enum class Availability { up, draining, gone };
enum class Attestation { none, valid, withdrawn };  // what signed metadata say of a build

struct PathGroup {
    std::string name;
    Nanos target = 0;   // target latency
    Nanos timeout = 0;  // client timeout
    double benefit = 1;
    Effect effect = Effect::repeatable;
    Reach reach = Reach::all;
    Nanos window = 0;  // how long a repeat of a tagged hit is known
    bool streaming = false;
    int index = 0;
};

// What a sidecar is told at start, in the project's words.
struct Settings {
    int index = 0, balancers = 1, zone = 0;
    std::vector<std::string> zones;
    std::vector<PathGroup> groups;
    bool mayTell = false, mayCancel = false, mayProbe = false, mayDuplicate = false, askForList = false;
    bool probesTell = false;  // pods report what they hold to probes alone
    bool adviseRetry = false;
    int maxForwards = 1;
    Nanos maxRetryAfter = 0;
    Nanos drainGrace = 0, coldTime = 0, fallTime = 0, askWithin = 0;
    double coldFrom = 1, fallMultiple = 1;
    Control control = Control::majority;
    std::vector<double> caps;
    double freeForwards = 0;
    Nanos exposureWindow = 0, voteLife = 0, answerWait = 0;
    int closedStages = 0, backVotes = 1;
    int onVotes = 0;  // that move a stage on; 0: not told
    bool perGroup = false, oneWay = false;
    double votesPerSecond = 1;
    bool attestationNeeded = false;  // signed metadata are required of a build on trial
    // Of a real sidecar's connections and clock; the decisions do not look at them. 0: not told.
    Nanos connectWithin = 0, keepIdle = 0, grain = 0;
    int maxOpen = 0;
};

struct Build {
    int number = 0;
    std::vector<double> allowance;  // forwards that the exposure rule allows now, by path group if counted so
    Attestation attestation = Attestation::none;
};

// Outcomes at one pod and the sum of their slowness.
struct Use {
    double tries = 0, slowness = 0;

    void operator+=(const Use& more) { tries += more.tries, slowness += more.slowness; }
    void halve() { tries /= 2, slowness /= 2; }
};

struct Pod {
    std::uint32_t id = 0;
    int zone = -1, cell = -1;
    Build* build = nullptr;
    Availability availability = Availability::gone;
    Nanos started = std::numeric_limits<Nanos>::min() / 4;  // as listed; long ago if not
    int out = 0;                                            // own forwards out
    Nanos heard = 0;                                        // when it last ended one, or came to owe one
    double coldSpent = 0;                                   // the cold pod's allowance of own work
    Nanos coldMark = 0;                                     // and when it was last filled
    Nanos fullUntil = 0;
    Use lately, unsent, pooled;  // own; not yet sent to voters; as a voter
    double viewed = 1;           // the voters' word: slowness against other pods
    Nanos viewedAt = std::numeric_limits<Nanos>::min() / 4;
    double holds = 0;  // hits, by its own last report
    Nanos heldAt = std::numeric_limits<Nanos>::min() / 4;
    bool lost = false;  // left the list without a drain
};

struct Hit;

struct Forward {
    Hit* hit = nullptr;
    Pod* pod = nullptr;
    Build* build = nullptr;  // the pod's at the send, as are zone and cell
    int zone = -1, cell = -1;
    Nanos sent = 0;
    bool out = true, mayHaveRun = true, counted = false;
};

struct Hit {
    std::string id, key;
    const PathGroup* group = nullptr;
    Nanos deadline = 0;  // when the client gives up
    Nanos work = 0;      // rough; 0 if not told
    bool repeated = false, ended = false;
    std::deque<Forward> forwards;  // a deque, so that a forward keeps its place
};

// One line of the list of pods.
struct Listing {
    Pod* pod = nullptr;
    int build = 0, zone = -1, cell = -1;
    Availability availability = Availability::up;
    Nanos started = std::numeric_limits<Nanos>::min() / 4;
};

}  // namespace lichenlanding
