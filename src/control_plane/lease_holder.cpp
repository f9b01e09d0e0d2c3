#include "control_plane/lease_holder.hpp"

#include "transport/log.hpp"

namespace lichenlanding::prompter {

using namespace wings;

namespace {

constexpr Nanos lookEvery = 100 * ms;
constexpr Nanos rowLife = 1500 * ms;  // three times as long as between two words of another
constexpr Nanos decideWithin = 900 * ms;

}  // namespace

DutyHolder::DutyHolder(Keeper& keeper, duties::Self self, std::function<std::set<std::string>()> hears,
                       std::function<std::uint64_t()> listTerm)
    : keeper_(keeper), self_(std::move(self)), hears_(std::move(hears)), listTerm_(std::move(listTerm)) {
    for (const auto& name : {listDuty, rolloutsDuty}) watches_.emplace(name, duties::Watch(name, self_));
}

const duties::Duties& DutyHolder::held() const {
    const auto& known = keeper_.known(dutiesKey);
    if (known.ballot != readAt_) readAt_ = known.ballot, read_ = duties::read(known.value);
    return read_;
}

bool DutyHolder::has(const std::string& duty) const {
    if (!confirmed_ || !keeper_.inContact()) return false;
    const auto at = held().find(duty);
    return at != held().end() && duties::holds(at->second, self_);
}

std::uint64_t DutyHolder::term(const std::string& duty) const {
    const auto at = held().find(duty);
    return at == held().end() ? 0 : at->second.term;
}

void DutyHolder::heard(const std::string& from, const Json& hears) {
    rows_[from] = {hears.get<std::set<std::string>>(), now()};
}

duties::Hears DutyHolder::rows() const {
    duties::Hears rows;
    const auto own = hears_();
    for (const auto& [from, row] : rows_)
        if (own.contains(from) && now() - row.at < rowLife) rows[from] = row.hears;
    rows[self_.address] = own;
    return rows;
}

Task<> DutyHolder::run() {
    for (;;) {
        co_await sleep(lookEvery);
        if (!keeper_.inContact()) {
            confirmed_ = false;
            continue;
        }
        confirmed_ = true;  // in contact: every key was read from a majority since
        for (auto& [name, watch] : watches_) {
            const auto at = held().find(name);
            const auto before = at == held().end() ? duties::Duty() : at->second;
            if (watch.due(before, keeper_.members(), rows(), now())) co_await take(name, before.term);
        }
        if (listTerm_() <= term(listDuty) || !has(listDuty)) continue;
        const auto value = co_await keeper_.read(dutiesKey, decideWithin);  // another may have it by now
        if (value && has(listDuty) && listTerm_() > term(listDuty)) co_await take(listDuty, listTerm_());
    }
}

Task<> DutyHolder::take(std::string duty, std::uint64_t seen) {
    const auto before = held().contains(duty) ? held().at(duty).holder : "";
    const reg::Change change = duties::taking(duty, self_, seen);
    const auto value = co_await keeper_.change(dutiesKey, change, decideWithin);
    if (!value) co_return;
    const auto after = duties::read(*value)[duty];
    if (duties::holds(after, self_)) log("duty", {{"duty", duty}, {"term", after.term}, {"before", before}});
}

Json DutyHolder::describe() const {
    Json told = Json::object();
    for (const auto& [name, duty] : held())
        told[name] = {{"holder", duty.holder}, {"term", duty.term}, {"mine", has(name)}};
    return told;
}

}  // namespace lichenlanding::prompter
