#include "adapter/instance.hpp"

#include <algorithm>
#include <utility>

namespace lichenlanding::adapter {
namespace {

constexpr std::int64_t kMaxPodId = 0xffffffffLL;
constexpr std::int64_t kMaxIndex = 1 << 20;  // largest index of an attempt, peer or stage
constexpr std::int64_t kMaxBuild = 65535;
constexpr std::int64_t kMaxCount = 1LL << 40;
// Bits of a request's "marks" field.
constexpr std::int64_t kCostKnown = 1, kRetry = 2;

}  // namespace

Instance::Instance(std::int64_t number, Settings settings, std::uint64_t seed, Nanos now, std::string& output)
    : number_(std::to_string(number)),
      output_(output),
      settings_(std::move(settings)),
      policy_(settings_, seed, *this) {
    policy_.setTime(now);
    policy_.onTimer();
}

void Instance::handle(LineReader& line, Nanos now, const std::vector<EndpointRow>* ledgers) {
    policy_.setTime(now);
    const auto name = line.messageName();
    if (name == "NEW_REQUEST") return handleNewRequest(line);
    if (name == "RESOLVED") return handleOutcome(line);
    if (name == "ENDPOINTS") return handleEndpoints(line, ledgers);
    if (name == "TRIAL_NEWS") return handleRolloutUpdate(line);
    if (name == "HEARD") return handlePeerMessage(line);
    if (name == "HANGUP") return handleDisconnect(line);
    if (name == "RETURNED") return handleFlagged(line);
    if (name == "HEAD_RECEIVED") return handleResponseHeaders(line);
    if (name == "SAMPLED") return handleSample(line);
    if (name == "ECHO") return handleProbeAnswer(line);
    if (name != "WAKE") throw ParseError("cannot read " + std::string(name) + ": field message name");
    line.string("tag");
    policy_.onTimer();
}

void Instance::handleNewRequest(LineReader& line) {
    auto request = std::make_unique<Request>();
    request->id = line.string("tid");
    request->key = line.stringOr("", "affinity");
    const auto marks = line.integer("marks", 0, kMaxCount);
    request->isRetry = (marks & kRetry) != 0;
    request->group = &readGroup(line, "profile");
    request->deadline = line.time("clientDeadlineMs");
    line.string("realm");
    const auto cost = line.timeOr(0, "workMs");
    if (marks & kCostKnown) request->cost = cost;
    auto& slot = requests_[request->id];
    slot = std::move(request);
    auto* accepted = slot.get();
    policy_.onRequest(*accepted);
    releaseIfDone(accepted);
}

void Instance::handleOutcome(LineReader& line) {
    auto* request = findRequest(line.string("tid"));
    const auto outcome = readOutcome(line, "rc");
    const auto latency = line.time("costTimeMs");
    auto* attempt = findAttempt(request, line.integer("shot", 0, kMaxIndex));
    auto& target = readPod(line);
    const bool clientDone = line.boolean("closed");
    if (const auto inFlight = line.loadValue("feedback", "inflight"); inFlight >= 0)
        policy_.onLoadReport(target, inFlight);
    if (!attempt || !attempt->inFlight) return;
    policy_.onOutcome(*attempt, outcome, latency, clientDone);
    releaseIfDone(request);
}

void Instance::handleResponseHeaders(LineReader& line) {
    auto* request = findRequest(line.string("tid"));
    if (auto* attempt = findAttempt(request, line.integer("shot", 0, kMaxIndex)))
        policy_.onResponseHeaders(*attempt);
}

void Instance::handleDisconnect(LineReader& line) {
    auto* request = findRequest(line.string("tid"));
    if (!request) return;
    policy_.onClientDisconnect(*request);
    releaseIfDone(request);
}

void Instance::handleFlagged(LineReader& line) {
    auto& source = readPod(line);
    const auto age = line.time("ageMs");
    policy_.onFlaggedResponse(source, age, readGroup(line, "profile"));
}

void Instance::handleProbeAnswer(LineReader& line) {
    readOutcome(line, "rc");
    auto& probed = readPod(line);
    line.time("costTimeMs");
    if (const auto inFlight = line.loadValue("feedback", "inflight"); inFlight >= 0)
        policy_.onLoadReport(probed, inFlight);
}

// The policy does not use samples; the line is only validated.
void Instance::handleSample(LineReader& line) {
    line.integer("edition", 0, kMaxBuild);
    readGroup(line, "profile");
    line.integer("attempts", 0, kMaxCount);
    line.integer("bad", 0, kMaxCount);
}

void Instance::handleEndpoints(LineReader& line, const std::vector<EndpointRow>* ledgers) {
    const auto scope = line.string("scope");
    if (scope == "error") return policy_.onEndpointsUnavailable();
    if (scope != "diff" && scope != "snapshot" && scope != "disk") line.fail("scope");
    line.integerOr(0, "seqNo", 0, 1LL << 62);
    std::vector<EndpointUpdate> updates;
    for (const auto& row : ledgers[line.integer("slot", 0, 15)]) {
        EndpointUpdate update{&pod(row.pod), row.build, -1, row.cell, row.availability, row.startedAt};
        for (std::size_t zone = 0; zone < settings_.zones.size(); ++zone)
            if (settings_.zones[zone] == row.zone) update.zone = static_cast<int>(zone);
        updates.push_back(update);
    }
    policy_.onEndpoints(scope != "diff", updates);
}

// An answer other than `completed` carries no rollout state; its fields may be absent.
void Instance::handleRolloutUpdate(LineReader& line) {
    const auto build = static_cast<int>(line.integerOr(-1, "edition", -1, kMaxBuild));
    const auto stage = static_cast<int>(line.integerOr(-1, "ring", -1, kMaxIndex));
    const auto state = std::max<std::int64_t>(line.integerOr(-1, "standing", -1, 3), 0);
    const bool answer = line.integer("reason", 0, 1) == 1;
    const auto answerOutcome = readOutcome(line, "rc");
    const auto cap = line.numberOr(0, "cap");
    const auto age = line.timeOr(0, "ageMs");
    policy_.onRolloutUpdate(build, stage, static_cast<RolloutState>(state), answer, answerOutcome, cap, age);
}

void Instance::handlePeerMessage(LineReader& line) {
    const auto peer = line.integer("srcPeer", 0, kMaxIndex);
    policy_.onPeerMessage(static_cast<int>(peer), line.bytes("data"));
}

Request* Instance::findRequest(std::string_view id) {
    const auto found = requests_.find(std::string(id));
    return found == requests_.end() ? nullptr : found->second.get();
}

Attempt* Instance::findAttempt(Request* request, std::int64_t index) {
    if (!request || index >= static_cast<std::int64_t>(request->attempts.size())) return nullptr;
    return &request->attempts[static_cast<std::size_t>(index)];
}

Pod& Instance::pod(std::uint32_t id) {
    auto& slot = pods_[id];
    if (!slot) {
        slot = std::make_unique<Pod>();
        slot->id = id;
    }
    return *slot;
}

Pod& Instance::readPod(LineReader& line) {
    return pod(static_cast<std::uint32_t>(line.integer("pod", 0, kMaxPodId)));
}

const PathGroup& Instance::readGroup(LineReader& line, const char* field) {
    const auto name = line.string(field);
    for (const auto& group : settings_.groups)
        if (group.name == name) return group;
    line.fail(field);
}

void Instance::releaseIfDone(Request* request) {
    if (!request->ended) return;
    for (const auto& attempt : request->attempts)
        if (attempt.inFlight) return;
    requests_.erase(requests_.find(request->id));
}

void Instance::reply(const char* name, std::initializer_list<std::string> values) {
    output_ += name;
    output_ += '\t';
    output_ += number_;
    for (const auto& value : values) {
        output_ += '\t';
        output_ += value;
    }
    output_ += '\n';
}

void Instance::forward(const Attempt& attempt, Nanos timeout) {
    reply("PLACE", {attempt.request->id, std::to_string(attempt.pod->id), formatMillis(timeout)});
}
void Instance::reject(const Request& request, Nanos retryAfter) {
    reply("REFUSE", {request.id, formatMillis(retryAfter)});
}
void Instance::fail(const Request& request) { reply("DROP_REQUEST", {request.id}); }
void Instance::cancel(const Request& request, int attempt) {
    reply("CANCEL", {request.id, std::to_string(attempt)});
}
void Instance::probe(const Pod& pod) { reply("CHECK", {std::to_string(pod.id)}); }
void Instance::sendToPeer(int peer, const std::string& bytes) {
    reply("PUBLISH", {peer < 0 ? "all" : std::to_string(peer), formatHex(bytes)});
}
void Instance::vote(Verdict verdict, int build, int stage) {
    const auto code = std::to_string(static_cast<int>(verdict));
    reply("OPINION", {code, std::to_string(build), std::to_string(stage)});
}
void Instance::scheduleTimer(Nanos delay) { reply("WAKE_AT", {formatMillis(delay), "tick"}); }
void Instance::watchEndpoints() { reply("LISTEN", {"1"}); }

}  // namespace lichenlanding::adapter
