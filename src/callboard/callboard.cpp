#include "callboard/callboard.hpp"

#include <algorithm>
#include <utility>

#include "company/company.hpp"
#include "cues/cues.hpp"

namespace lichenlanding::callboard {
namespace {

constexpr Nanos askAgain = 400'000'000;  // for a configuration that has not come
// Clocks of machines differ: a pod that a copy newer by this much does not hold is gone.
constexpr std::int64_t surelyNewer = 5000;

std::size_t rangeOf(const std::string& id) { return company::hash("range", id) % ranges; }

}  // namespace

void Callboard::configuration(std::uint32_t version, std::string squeezed) {
    if (version <= version_) return;
    version_ = version, squeezed_ = std::move(squeezed);
    if (reader_.configuration) reader_.configuration(squeezed_);
}

void Callboard::rollouts(std::int64_t number, std::string text) {
    if (number <= number_) return;
    number_ = number, rollouts_ = std::move(text);
    if (reader_.rollouts) reader_.rollouts(rollouts_);
}

void Callboard::apply(const troupe::Event& event) {
    if (!troupe_.apply(event)) return;
    summed_ = false;
    if (reader_.pod) reader_.pod(event);
}

Json Callboard::list(const std::vector<troupe::Member>& members, std::int64_t stamp) {
    const auto events = troupe_.towards(members, 0);
    listed_ = true, stamp_ = std::max(stamp, stamp_);
    if (events.empty()) return nullptr;
    Json set = Json::array(), gone = Json::array();
    for (const auto& event : events) {
        apply(event);
        if (event.gone) gone.push_back(event.member.id);
        else set.push_back(cues::write(event.member));
    }
    const auto before = std::exchange(change_, std::max(stamp_, change_ + 1));
    return {{"t", "pods"},     {"after", before}, {"change", change_},
            {"stamp", stamp_}, {"set", set},      {"gone", gone}};
}

const std::array<std::uint64_t, ranges>& Callboard::sums() const {
    if (summed_) return sums_;
    sums_ = {};
    for (const auto& [id, member] : troupe_.members())
        sums_[rangeOf(id)] ^= company::hash(member.draining ? "draining" : "ready", id);
    summed_ = true;
    return sums_;
}

Json Callboard::cue() const { return {{"t", "digest"}, {"configuration", version_}, {"rollouts", number_}}; }

Json Callboard::order() const { return {{"t", "rollouts"}, {"number", number_}, {"list", rollouts_}}; }

Json Callboard::digest() const {
    auto told = cue();
    if (listed_) told["stamp"] = stamp_, told["change"] = change_, told["sums"] = sums();
    return told;
}

bool Callboard::heard(const Json& message, From from, Nanos now, const Reply& reply) {
    const auto& kind = message.at("t").get_ref<const std::string&>();
    if (kind == "digest") {
        compare(message, from, now, reply);
    } else if (kind == "want") {
        answer(message, reply);
    } else if (kind == "configuration") {
        configuration(message.at("version").get<std::uint32_t>(), cues::readText(message.at("squeezed")));
    } else if (kind == "rollouts") {
        rollouts(message.at("number").get<std::int64_t>(), message.at("list").get<std::string>());
    } else if (kind == "pods") {
        take(message, from, reply);
    } else {
        return false;
    }
    return true;
}

// What theirs has that this one lacks is asked for; where this one is the newer, its digest goes back, once.
void Callboard::compare(const Json& theirs, From from, Nanos now, const Reply& reply) {
    const bool asks = from != From::follower;
    Json want{{"t", "want"}};
    bool newer = false;
    const auto version = theirs.at("configuration").get<std::uint32_t>();
    if (version > version_ && asks && (asked_ != version || now - askedAt_ > askAgain))
        want["configuration"] = asked_ = version, askedAt_ = now;
    newer = newer || version < version_;
    const auto number = theirs.at("rollouts").get<std::int64_t>();
    if (number > number_ && asks) want["rollouts"] = true;
    newer = newer || number < number_;
    if (!theirs.contains("stamp")) {
        newer = newer || listed_;
    } else {
        const auto stamp = theirs.at("stamp").get<std::int64_t>();
        const auto told = theirs.at("sums").get<std::array<std::uint64_t, ranges>>();
        const bool same = told == sums();
        if (same && asks) {
            if (from == From::prompter || stamp > stamp_ || !listed_)
                stamp_ = stamp, theirs.at("change").get_to(change_);
            listed_ = true;
        } else if (!same && asks && (from == From::prompter || !listed_ || stamp > stamp_)) {
            Json held = Json::object();
            for (std::size_t range = 0; range < ranges; ++range)
                if (told[range] != sums()[range]) held[std::to_string(range)] = Json::array();
            for (const auto& [id, _] : troupe_.members())
                if (const auto of = held.find(std::to_string(rangeOf(id))); of != held.end())
                    of->push_back(id);
            want["held"] = std::move(held), want["stamp"] = stamp_;
        }
        newer = newer || (listed_ && !same && (!asks || stamp < stamp_));
    }
    if (want.size() > 1) reply(std::move(want));
    if (newer && from != From::prompter && !theirs.contains("back")) {
        auto mine = digest();
        mine["back"] = true;
        reply(std::move(mine));
    }
}

void Callboard::answer(const Json& want, const Reply& reply) const {
    if (want.contains("configuration") && version_ > 0)
        reply({{"t", "configuration"}, {"version", version_}, {"squeezed", cues::writeText(squeezed_)}});
    if (want.contains("rollouts") && number_ >= 0) reply(order());
    const auto held = want.find("held");
    if (held == want.end() || !listed_) return;
    std::set<std::string> theirs;
    for (const auto& [_, ids] : held->items())
        for (const auto& id : ids) theirs.insert(id.get<std::string>());
    Json set = Json::array(), gone = Json::array();
    for (const auto& [id, member] : troupe_.members())
        if (held->contains(std::to_string(rangeOf(id))) && (member.draining || !theirs.contains(id)))
            set.push_back(cues::write(member));
    const bool sure = stamp_ > want.at("stamp").get<std::int64_t>() + surelyNewer;
    for (const auto& id : theirs)
        if (!troupe_.members().contains(id) && (sure || troupe_.left(id))) gone.push_back(id);
    reply({{"t", "pods"}, {"change", change_}, {"stamp", stamp_}, {"set", set}, {"gone", gone}});
}

void Callboard::take(const Json& pods, From from, const Reply& reply) {
    const auto stamp = pods.at("stamp").get<std::int64_t>();
    const auto after = pods.find("after");  // a change names the one before it, a mended copy does not
    const bool newer = from == From::prompter || !listed_ || stamp > stamp_;
    for (const auto& entry : pods.at("set")) {
        troupe::Event event;
        event.member = cues::readMember(entry);
        if (newer || event.member.draining) apply(event);
    }
    for (const auto& id : pods.at("gone")) {
        troupe::Event event;
        event.gone = true, id.get_to(event.member.id);
        apply(event);
    }
    if (after != pods.end() && (!listed_ || after->get<std::int64_t>() != change_)) {
        reply(digest());  // one has been missed: what differs comes back
    } else if (newer) {
        listed_ = true, stamp_ = stamp, pods.at("change").get_to(change_);
    }
}

}  // namespace lichenlanding::callboard
