#include "adapter/instance.hpp"

#include <algorithm>

namespace lichenlanding::wire {

Instance::Instance(std::int64_t number, const Settings& settings, std::uint64_t seed, Nanos now,
                   std::string& out)
    : number_(std::to_string(number)), out_(out), settings_(settings), balance_(settings_, seed, *this) {
    balance_.at(now);
    balance_.woke();
}

void Instance::read(Line& line, Nanos now, const std::vector<Row>* ledgers) {
    balance_.at(now);
    const auto name = line.name();
    if (name == "NEW_REQUEST") {
        readHit(line);
    } else if (name == "RESOLVED") {
        readOutcomeLine(line);
    } else if (name == "WAKE") {
        line.word("tag");
        balance_.woke();
    } else if (name == "ENDPOINTS") {
        readList(line, ledgers);
    } else if (name == "TRIAL_NEWS") {
        readNews(line);
    } else if (name == "HEARD") {
        const auto peer = line.integer("srcPeer", 0, 1 << 20);
        balance_.heard(static_cast<int>(peer), line.bytes("data"));
    } else if (name == "HANGUP") {
        if (auto* hit = findHit(line.word("tid"))) {
            balance_.hangup(*hit);
            letGo(hit);
        }
    } else if (name == "RETURNED") {
        auto& returned = pod(static_cast<std::uint32_t>(line.integer("pod", 0, 0xffffffffLL)));
        const auto age = line.time("ageMs");
        balance_.flagged(returned, age, group(line, "profile"));
    } else if (name == "HEAD_RECEIVED") {
        auto* hit = findHit(line.word("tid"));
        if (auto* forward = findForward(hit, line.integer("shot", 0, 1 << 20))) balance_.head(*forward);
    } else if (name == "SAMPLED") {
        line.integer("edition", 0, 65535);
        group(line, "profile");
        line.integer("attempts", 0, 1LL << 40);
        line.integer("bad", 0, 1LL << 40);
    } else if (name == "ECHO") {
        readOutcome(line, "rc");
        auto& probed = pod(static_cast<std::uint32_t>(line.integer("pod", 0, 0xffffffffLL)));
        line.time("costTimeMs");
        if (const auto holds = line.report("feedback", "inflight"); holds >= 0)
            balance_.report(probed, holds);
    } else {
        throw Unreadable("cannot read " + std::string(name) + ": field message name");
    }
}

void Instance::readList(Line& line, const std::vector<Row>* ledgers) {
    const auto scope = line.word("scope");
    if (scope == "error") return balance_.listFailed();
    if (scope != "diff" && scope != "snapshot" && scope != "disk") line.fail("scope");
    if (line.absent()) line.word("seqNo");
    else line.integer("seqNo", 0, 1LL << 62);
    std::vector<Listing> listings;
    for (const auto& row : ledgers[line.integer("slot", 0, 15)]) {
        Listing listing{&pod(row.pod), row.build, -1, row.cell, row.availability, row.started};
        for (std::size_t zone = 0; zone < settings_.zones.size(); ++zone)
            if (settings_.zones[zone] == row.zone) listing.zone = static_cast<int>(zone);
        listings.push_back(listing);
    }
    balance_.listed(scope != "diff", listings);
}

void Instance::readHit(Line& line) {
    auto hit = std::make_unique<Hit>();
    hit->id = line.word("tid");
    const bool keyless = line.absent();
    hit->key = line.word("affinity");
    if (keyless) hit->key.clear();
    const auto marks = line.integer("marks", 0, 1LL << 40);
    hit->repeated = (marks & 2) != 0;
    hit->group = &group(line, "profile");
    hit->deadline = line.time("clientDeadlineMs");
    line.word("realm");
    if (line.absent()) line.word("workMs");
    else hit->work = (marks & 1) ? line.time("workMs") : (line.time("workMs"), 0);
    auto& held = hits_[hit->id];
    held = std::move(hit);
    auto* taken = held.get();
    balance_.hit(*taken);
    letGo(taken);
}

void Instance::readOutcomeLine(Line& line) {
    auto* hit = findHit(line.word("tid"));
    const auto outcome = readOutcome(line, "rc");
    const auto took = line.time("costTimeMs");
    auto* forward = findForward(hit, line.integer("shot", 0, 1 << 20));
    auto& sent = pod(static_cast<std::uint32_t>(line.integer("pod", 0, 0xffffffffLL)));
    const bool closed = line.truth("closed");
    if (const auto holds = line.report("feedback", "inflight"); holds >= 0) balance_.report(sent, holds);
    if (!forward || !forward->out) return;
    balance_.outcome(*forward, outcome, took, closed);
    letGo(hit);
}

// An answer that is not `completed` tells nothing of the build, and its fields may be absent.
void Instance::readNews(Line& line) {
    const auto whole = [&](const char* field, std::int64_t most) {
        return line.absent() ? (line.word(field), -1) : line.integer(field, -1, most);
    };
    const auto build = static_cast<int>(whole("edition", 65535));
    const auto stage = static_cast<int>(whole("ring", 1 << 20));
    const auto standing = static_cast<Standing>(std::max<std::int64_t>(whole("standing", 3), 0));
    const bool answer = line.integer("reason", 0, 1) == 1;
    const auto answered = readOutcome(line, "rc");
    const auto cap = line.absent() ? (line.word("cap"), 0.0) : line.number("cap");
    const auto age = line.absent() ? (line.word("ageMs"), Nanos{0}) : line.time("ageMs");
    balance_.news(build, stage, standing, answer, answered, cap, age);
}

Hit* Instance::findHit(std::string_view id) {
    const auto found = hits_.find(std::string(id));
    return found == hits_.end() ? nullptr : found->second.get();
}

Forward* Instance::findForward(Hit* hit, std::int64_t shot) {
    if (!hit || shot >= static_cast<std::int64_t>(hit->forwards.size())) return nullptr;
    return &hit->forwards[static_cast<std::size_t>(shot)];
}

Pod& Instance::pod(std::uint32_t id) {
    auto& held = pods_[id];
    if (!held) {
        held = std::make_unique<Pod>();
        held->id = id;
    }
    return *held;
}

const PathGroup& Instance::group(Line& line, const char* field) {
    const auto name = line.word(field);
    for (const auto& group : settings_.groups)
        if (group.name == name) return group;
    line.fail(field);
}

void Instance::letGo(Hit* hit) {
    if (!hit->ended) return;
    for (const auto& forward : hit->forwards)
        if (forward.out) return;
    hits_.erase(hits_.find(hit->id));
}

void Instance::say(const char* name, std::initializer_list<std::string> values) {
    out_ += name;
    out_ += '\t';
    out_ += number_;
    for (const auto& value : values) {
        out_ += '\t';
        out_ += value;
    }
    out_ += '\n';
}

void Instance::forward(const Forward& sent, Nanos timeout) {
    say("PLACE", {sent.hit->id, std::to_string(sent.pod->id), millis(timeout)});
}
void Instance::bounce(const Hit& hit, Nanos retryAfter) { say("REFUSE", {hit.id, millis(retryAfter)}); }
void Instance::error(const Hit& hit) { say("DROP_REQUEST", {hit.id}); }
void Instance::cancel(const Hit& hit, int shot) { say("CANCEL", {hit.id, std::to_string(shot)}); }
void Instance::probe(const Pod& pod) { say("CHECK", {std::to_string(pod.id)}); }
void Instance::tell(int peer, const std::string& bytes) {
    say("PUBLISH", {peer < 0 ? "all" : std::to_string(peer), hex(bytes)});
}
void Instance::vote(Verdict verdict, int build, int stage) {
    say("OPINION", {std::to_string(static_cast<int>(verdict)), std::to_string(build), std::to_string(stage)});
}
void Instance::wake(Nanos after) { say("WAKE_AT", {millis(after), "tick"}); }
void Instance::listen() { say("LISTEN", {"1"}); }

}  // namespace lichenlanding::wire
