#include "routing/router.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "hashing/rendezvous.hpp"

namespace lichenlanding::casting {
namespace {

constexpr Nanos ms = 1'000'000, second = 1000 * ms;
constexpr double budgetPart = 0.85;      // of the fleet's budget that foyers spend, each by its own share
constexpr Nanos settleFor = 2 * second;  // until the others that start as well are known
constexpr double hedgePart = 0.5;        // of that, which second sends beside one that is out may take
constexpr double sharePart = 0.45;       // of the share that a version on trial may have, while it is watched
constexpr double slackPart = 0.7;        // of the sends beyond the share, to begin the watch with
constexpr double grantAtMost = 4;        // of these at one foyer, which may not know of others yet
constexpr Nanos focusFor = 500 * ms;     // the watch's share goes to the same few pods
constexpr double rehearsalPart = 0.9;    // of it, that the watch and the rehearsal may come to
constexpr Nanos rehearsalFor = 600 * ms;
constexpr double creditAtMost = 1.5;     // sends to it that may be saved up
constexpr Nanos skipFirst = 2 * second;  // of a pod's life nothing counts for a version
constexpr double otherZone = 0.5;        // what a pod in another zone costs more, in usual answers
constexpr double coldPace = 2;           // a pod that warms up is so much slower
constexpr double reportFades = 400.0 * ms;
constexpr double crowdUsual =
    0.3;  // a difference that moves nothing to another zone: bytes between zones are priced
constexpr double crowdLearn = 0.03;    // weight of the newest report in its zone's usual wait
constexpr Nanos muteAfter = 900 * ms;  // a pod that owes answers so long gets no more while others can
constexpr Nanos restFirst = 200 * ms, restAtMost = 4 * second, restTurned = 120 * ms;
constexpr int cutsInRow = 3;    // before a pod that breaks answers off rests
constexpr double learn = 0.15;  // weight of the newest answer in an average
constexpr double hedgeTypical = 2.3,
                 hedgeTarget = 0.6;  // a second send after so many usual times, or so much of the target
constexpr Nanos hedgeAgainAtLeast = 50 * ms;  // after a second send that was not to be had
constexpr Nanos leastLeft = 15 * ms;          // with less time a send is pointless
constexpr std::int64_t unreachedMore = 2;     // attempts beyond max_attempts, where pods are not reached
constexpr int ownBad = 4;                     // bad answers of a version on trial seen here that stop it here
constexpr double ownBadPart = 0.3;
constexpr Nanos comeBack = 150 * ms;
constexpr double linesPart = 0.8;  // of a pod's connections, that foyers share

constexpr Nanos idleUnlessTold = 4 * second;  // how long a pod is taken to keep an idle connection
constexpr double idlePart = 0.7;              // of what it says
constexpr Nanos carefulIdle = 1500 * ms;

}  // namespace

Nanos keptFor(Nanos told) {
    return static_cast<Nanos>(static_cast<double>(told > 0 ? told : idleUnlessTold) * idlePart);
}

bool surelyKept(Nanos age, Nanos kept) { return age <= std::min(carefulIdle, kept); }

// Sends past the first of a request, against requests, in seconds' cells over a window.
struct Casting::Budget {
    static constexpr std::size_t cells = 32;
    std::array<std::pair<double, double>, cells> kept{};  // requests, further sends
    Nanos at = 0;

    std::pair<double, double>& cell(Nanos now) {
        const Nanos second_ = now / second;
        if (at == 0 || second_ - at > static_cast<Nanos>(cells)) kept = {}, at = second_;
        while (at < second_) kept[static_cast<std::size_t>(++at) % cells] = {};
        return kept[static_cast<std::size_t>(at) % cells];
    }
    std::pair<double, double> over(Nanos now, Nanos window) {
        cell(now);
        std::pair<double, double> sum{};
        const auto count = std::min<Nanos>(window / second, cells - 1);
        for (Nanos back = 0; back <= count; ++back) {
            if (back > at) break;
            const auto& [requests, further] = kept[static_cast<std::size_t>(at - back) % cells];
            sum.first += back < count ? requests : 0, sum.second += further;
        }
        return sum;
    }
};

struct Casting::Trial {
    double credit = 0;               // sends that it may have now
    double granted = 0, unused = 0;  // sends beyond its share; of these, not yet credited
    double sent = 0, all = 0;        // to it, and to its service, since the order is known here
    int stage = 0;
    Nanos staged = 0;  // since when
    bool over = false;
    std::uint32_t fresh = 0, bad = 0;
    verdict::Totals totals;
};

Casting::Casting(const playbill::Boot& boot, std::uint64_t seed)
    : zone_(boot.zone),
      ratio_(boot.budgetRatio),
      slack_(boot.budgetSlack),
      share_(boot.exposureShare),
      beyond_(boot.exposureSlack),
      window_(boot.budgetWindow),
      chance_(seed) {}

void Casting::take(std::shared_ptr<const playbill::Playbill> playbill) {
    if (playbill_ && playbill->version <= playbill_->version) return;  // CONFIG: never back in one life
    playbill_ = std::move(playbill);
}

void Casting::apply(const troupe::Event& event, Nanos now) {
    const auto& id = event.member.id;
    auto at = actors_.find(id);
    if (event.gone) {
        if (at == actors_.end()) return;
        at->second->gone = true;
        std::erase(byService_[at->second->listed.service], at->second);
        actors_.erase(at);
        return;
    }
    if (at == actors_.end()) {
        auto actor = std::make_shared<Actor>();
        actor->listed = event.member, actor->since = now, actor->warmUntil = now + event.member.warmup;
        at = actors_.emplace(id, actor).first;
        byService_[event.member.service].push_back(actor);
        auto& settled = settled_[event.member.service];
        const bool ordered = std::any_of(rollouts_.begin(), rollouts_.end(), [&](const auto& rollout) {
            return rollout.service == event.member.service && rollout.target == event.member.version;
        });
        if (settled.empty() && !ordered) settled.insert(event.member.version);
    }
    at->second->listed.draining = event.member.draining;
}

void Casting::rollouts(std::vector<cues::Rollout> rollouts, Nanos now) {
    const bool here = std::exchange(rolloutsKnown_, true);  // else an order may have been granted before
    rollouts_ = std::move(rollouts);
    std::map<std::string, const cues::Rollout*> last;  // a version may be ordered anew
    for (const auto& rollout : rollouts_) last[rollout.service + "\n" + rollout.target] = &rollout;
    std::erase_if(trials_, [&](const auto& trial) { return !last.contains(trial.first); });
    for (const auto& rollout : rollouts_) {
        settled_[rollout.service].erase(rollout.target);
        const auto key = rollout.service + "\n" + rollout.target;
        if (last.at(key) != &rollout) continue;
        auto& trial = trials_[key];
        // Ordered anew after it was turned back: what was counted then is no word on what runs now.
        if (!trial || (trial->over && rollout.running())) {
            // The rule lets a few more than the share go there over the whole fleet. Where few requests come
            // the share alone brings too few outcomes within a term; chance spreads a grant of less than one.
            trial = std::make_shared<Trial>();
            const double grant = beyond_ * slackPart / static_cast<double>(foyers_) +
                                 static_cast<double>(chance_() % 1000) / 1000;
            if (here && rollout.running()) trial->granted = std::floor(std::min(grant, grantAtMost));
            trial->unused = trial->granted;
        }
        trial->over = !rollout.running();
        if (rollout.stage != trial->stage) trial->stage = rollout.stage, trial->staged = now;
    }
    for (auto& [service, versions] : settled_) {
        if (!versions.empty()) continue;
        for (const auto& actor : byService_[service]) {
            const auto& version = actor->listed.version;
            if (std::none_of(rollouts_.begin(), rollouts_.end(), [&](const auto& rollout) {
                    return rollout.service == actor->listed.service && rollout.target == version;
                }))
                versions.insert(version);
        }
    }
}

// What a pod's version may take: a version that an order brought goes by the order's state; one that nobody
// ordered serves only if it was there first, and only until a completed order replaces it.
Casting::Side Casting::side(const Actor& actor) const {
    const auto& [service, version] = std::tie(actor.listed.service, actor.listed.version);
    const cues::Rollout *own = nullptr, *done = nullptr;
    for (const auto& rollout : rollouts_) {
        if (rollout.service != service) continue;
        if (rollout.target == version) own = &rollout;
        if (rollout.state == "completed" && (!done || rollout.number > done->number)) done = &rollout;
    }
    if (own && own->running()) return Side::fresh;
    if (own) return own == done ? Side::earlier : Side::none;
    if (done) return Side::none;
    const auto at = settled_.find(service);
    return at != settled_.end() && at->second.contains(version) ? Side::earlier : Side::none;
}

bool Casting::usable(const Actor& actor, Nanos now) const {
    return !actor.gone && !actor.listed.draining && now >= actor.restUntil &&
           (actor.owes == 0 || now - actor.owes < muteAfter);
}

void Casting::company(std::size_t foyers, Nanos now) {
    foyers_ = std::max<std::size_t>(foyers, 1);
    while (known_.size() > 1 && now - known_[1].first > window_) known_.pop_front();
    known_.emplace_back(now, foyers_);
}

// Among how many the slack is shared. After a loss of many, or at a start, the others are on their way back
// and will count on their part of the same window: the most known of late.
std::size_t Casting::sharers(Nanos now) const {
    std::size_t most = 1;
    for (std::size_t at = 0; at < known_.size(); ++at)
        if (at + 1 == known_.size() || now - known_[at + 1].first <= window_)
            most = std::max(most, known_[at].second);
    return most;
}

// By how much longer pods of the own zone have made requests wait than those of the quietest other one.
double Casting::crowding(const std::string& service) const {
    const auto own = crowds_.find({service, zone_});
    if (own == crowds_.end()) return 0;
    double least = own->second;
    for (auto at = crowds_.lower_bound({service, ""}); at != crowds_.end() && at->first.first == service;
         ++at)
        least = std::min(least, at->second);
    return std::max(0.0, own->second - least - crowdUsual);
}

double Casting::cost(const Actor& actor, Nanos now) const {
    const double slots = std::max(actor.listed.slots, 1);
    const auto wait = [&](double load) {
        return std::max(0.0, load + 1 - slots) / slots + 0.15 * load / slots;
    };
    // A pod's last word fades; then what pods of its zone have said of late stands for it. One foyer of many
    // hears of a pod every few seconds at best, and would take its own full zone for an empty one.
    const double fresh =
        actor.heldAt == 0 ? 0 : std::exp(-static_cast<double>(now - actor.heldAt) / reportFades);
    const double usual = actor.listed.zone == zone_ ? crowding(actor.listed.service) : 0;
    const double told = wait(actor.out + fresh * std::max(0, actor.held - actor.heldOut));
    const double pace = actor.pace * (now < actor.warmUntil ? coldPace : 1);
    return pace * (1 + told + (1 - fresh) * usual) + (actor.listed.zone == zone_ ? 0 : otherZone);
}

Casting::Budget& Casting::budget(const std::string& service) {
    auto& budget = budgets_[service];
    if (!budget) budget = std::make_shared<Budget>();
    return *budget;
}

bool Casting::begin(Try& request, std::string_view host, std::string_view path, Nanos now, Nanos clientTime) {
    request.route = playbill_ ? playbill_->find(host, path) : nullptr;
    if (!request.route) return false;
    const auto& route = *request.route;
    request.service =
        route.service(static_cast<std::int64_t>(chance_() % static_cast<std::uint64_t>(route.weights)));
    request.arrived = now;
    request.deadline = now + std::min(clientTime, route.timeout);
    budget(request.service).cell(now).first += 1;
    return true;
}

bool Casting::mayGoOn(const Try& request, Nanos now) const {
    // A pod that was not reached was not sent it; but a request is not held for long over such pods.
    return maySend(request.attempts, request.route->repeatable) &&
           static_cast<std::int64_t>(arrivals(request.attempts)) < request.route->maxAttempts &&
           static_cast<std::int64_t>(request.attempts.size()) < request.route->maxAttempts + unreachedMore &&
           request.deadline - now > leastLeft;
}

bool Casting::warm(const Actor& actor, Nanos now) const {
    return now - actor.since >= skipFirst && now >= actor.warmUntil;
}

// A share that is spread over as many new pods as there are old ones never loads one, and what fails only
// under load would show with all traffic. So all foyers send it to the same few at a time, as many as it
// loads like the rest, and to others twice a second: their paces differ. Pods whose outcomes do not count yet
// get none of it.
std::size_t Casting::few(std::size_t pods) const {
    return static_cast<std::size_t>(std::ceil(static_cast<double>(pods) * share_ * sharePart));
}

void Casting::focus(Places& near, Places& far, const std::string& target, Nanos now) const {
    std::vector<std::string> names;
    const auto count = few(near.size() + far.size());
    for (auto* place : {&near, &far})
        std::erase_if(*place, [&](const auto* actor) { return !warm(**actor, now); });
    for (const auto* place : {&near, &far})
        for (const auto* actor : *place) names.push_back((*actor)->listed.id);
    const auto turn = (now + offset_) / focusFor;
    const auto chosen = company::chosen(names, target + std::to_string(turn), count);
    for (auto* place : {&near, &far})
        std::erase_if(*place, [&](const auto* actor) {
            return std::find(chosen.begin(), chosen.end(), (*actor)->listed.id) == chosen.end();
        });
}

std::shared_ptr<Attempt> Casting::next(Try& request, Nanos now) {
    if (!mayGoOn(request, now)) return nullptr;
    // BUDGET: any arrival past a request's first is paid for before it is sent.
    const bool further = arrivals(request.attempts) > 0;
    auto& spent = budget(request.service);
    if (further) {
        const auto [requests, sends] = spent.over(now, window_);
        // At a start nobody knows yet among how many it is shared.
        const double slack = known_.empty() || now - known_.front().first < settleFor
                                 ? 0
                                 : slack_ / static_cast<double>(sharers(now));
        const double allowed = (ratio_ * requests + slack) * budgetPart;
        if (sends + 1 > allowed * (inFlight(request.attempts) > 0 ? hedgePart : 1)) return nullptr;
    }
    std::array<Places, 2> near, far, resting;
    const auto all = byService_.find(request.service);
    if (all == byService_.end()) return nullptr;
    for (const auto& actor : all->second) {
        const auto where = side(*actor);
        if (where == Side::none || actor->gone || actor->listed.draining) continue;
        if (std::any_of(request.attempts.begin(), request.attempts.end(),
                        [&](const auto& attempt) { return attempt->actor() == actor; }))
            continue;
        const auto at = static_cast<std::size_t>(where == Side::fresh);
        auto& place = !usable(*actor, now) ? resting : actor->listed.zone == zone_ ? near : far;
        place[at].push_back(&actor);
    }
    // EXPOSURE: a version on trial gets its share, counted here; all of it once its order says so.
    // Two orders of one service are told apart: what one may have is not the other's.
    const std::string* target = nullptr;
    bool watched = false;  // by the share alone
    const auto isOf = [](const std::string& version) {
        return [&version](const auto* actor) { return (*actor)->listed.version == version; };
    };
    for (const auto& rollout : rollouts_) {
        if (rollout.service != request.service || !rollout.running()) continue;
        auto& trial = *trials_[rollout.service + "\n" + rollout.target];
        std::size_t there = 0, warmed = 0;
        for (const auto* place : {&near[1], &far[1]})
            for (const auto* actor : *place)
                if (isOf(rollout.target)(actor)) ++there, warmed += warm(**actor, now);
        const bool stopped = trial.bad >= ownBad && trial.bad > trial.fresh * ownBadPart;
        if (stopped || there == 0) continue;
        // The rehearsal: all of the requests for a moment, within what the share has left unused so far. What
        // fails only under load shows here, before it may have all.
        const bool rehearsing = rollout.stage == 1 && now - trial.staged < rehearsalFor &&
                                trial.sent + 1 <= (trial.all + 1) * share_ * rehearsalPart + trial.granted;
        if (!target && (rollout.stage > 1 || rehearsing)) target = &rollout.target;
        if (rollout.stage > 1 || rehearsing || further || warmed == 0) continue;
        // The few get what an earlier pod gets: of the share, and of the grant what that lacks.
        const double fair = static_cast<double>(few(there)) / static_cast<double>(there);
        const double steady = std::min(share_ * sharePart, fair);
        const double more = std::min(fair - steady, trial.unused);
        if (trial.credit < creditAtMost) trial.credit += steady + more, trial.unused -= more;
        if (trial.credit >= 1) trial.credit -= 1, target = &rollout.target, watched = true;
    }
    const std::size_t from = target ? 1 : 0;
    if (target)
        for (auto* place : {&near[1], &far[1]})
            std::erase_if(*place, [&](const auto* actor) { return (*actor)->listed.version != *target; });
    if (watched) focus(near[1], far[1], *target, now);
    std::shared_ptr<Actor> best;
    double least = 0;
    const auto look = [&](const std::vector<const std::shared_ptr<Actor>*>& place, int draws) {
        for (int draw = 0; draw < draws && !place.empty(); ++draw) {
            const auto& actor = *place[chance_() % place.size()];
            const double its = cost(*actor, now);
            if (!best || its < least) best = actor, least = its;
        }
    };
    look(near[from], 2), look(far[from], near[from].empty() ? 2 : 1);
    if (!best) look(resting[0], 2);
    if (!best) return nullptr;
    // What is asked for and not sent is nothing of which a version would get its share.
    for (const auto& rollout : rollouts_)
        if (rollout.service == request.service && rollout.running())
            ++trials_[rollout.service + "\n" + rollout.target]->all;
    if (side(*best) == Side::fresh) ++trials_[best->listed.service + "\n" + best->listed.version]->sent;
    if (further) spent.cell(now).second += 1;
    if (best->out++ == 0) best->owes = now;
    request.attempts.push_back(std::make_shared<Attempt>(best));
    return request.attempts.back();
}

Nanos Casting::hedgeAt(const Try& request, Nanos sentAt) const {
    if (!request.route->repeatable) return request.deadline;
    const auto at = typical_.find(request.route->name);
    const double target = static_cast<double>(request.route->target);
    const double after =
        std::min(at == typical_.end() ? target : hedgeTypical * at->second, hedgeTarget * target);
    return std::min(request.deadline, sentAt + static_cast<Nanos>(after));
}

Nanos Casting::hedgeAgainAt(const Try& request, Nanos now) const {
    if (!request.route->repeatable) return request.deadline;
    const auto at = typical_.find(request.route->name);
    const double usual = at == typical_.end() ? static_cast<double>(request.route->target) / 3 : at->second;
    return std::min(request.deadline, now + std::max(static_cast<Nanos>(usual / 2), hedgeAgainAtLeast));
}

void Casting::reported(Actor& actor, int running, int waiting, Nanos now) {
    actor.held = running + waiting, actor.heldOut = actor.out, actor.heldAt = now;
    const double slots = std::max(actor.listed.slots, 1);
    const double waits = std::max(0.0, running + waiting + 1 - slots) / slots;
    auto& crowd = crowds_.try_emplace({actor.listed.service, actor.listed.zone}, waits).first->second;
    crowd += crowdLearn * (waits - crowd);
}

void Casting::ended(Try& request, Attempt& attempt, Event end, int status, Nanos took, Nanos now) {
    attempt.on(end);
    auto& actor = *attempt.actor();
    // Where nothing is out nothing is owed, however it ended: else a pod that failed once would count as mute
    // until it is drawn for want of others.
    if (--actor.out == 0) actor.owes = 0;
    else if (end == Event::answered || end == Event::turned || end == Event::elsewhere) actor.owes = now;
    const auto rest = [&](Nanos first) {
        actor.restUntil = now + std::min(first << std::min(actor.failures, 5), restAtMost);
    };
    if (end == Event::answered) {
        actor.failures = 0;
    } else if (end == Event::turned) {
        actor.restUntil = now + restTurned;
    } else if (end == Event::elsewhere) {
        actor.gone = true;  // ROUTE: the address has another pod; the list will say so
    } else if (end == Event::unreached || end == Event::overdue) {
        rest(restFirst), ++actor.failures;
    } else if (++actor.failures >= cutsInRow) {
        rest(restFirst);
    }
    const bool failed = end == Event::cut || end == Event::spoilt || end == Event::overdue ||
                        (end == Event::answered && status >= 500);
    const auto& route = *request.route;
    if (end == Event::answered && status < 300) {
        auto& typical = typical_.try_emplace(route.name, static_cast<double>(route.target) / 3).first->second;
        const double ratio = static_cast<double>(took) / typical;
        typical += learn * (static_cast<double>(took) - typical);
        if (now >= actor.warmUntil) actor.pace += learn * (std::clamp(ratio, 0.2, 5.0) - actor.pace);
    }
    if (attempt.state() == State::surelyNotRun || !warm(actor, now)) return;
    for (const auto& rollout : rollouts_) {
        if (rollout.service != actor.listed.service || !rollout.running()) continue;
        const bool fresh = rollout.target == actor.listed.version;
        if (!fresh && side(actor) != Side::earlier) continue;
        auto& trial = *trials_[rollout.service + "\n" + rollout.target];
        trial.totals[route.name][fresh ? 0 : 1].count(took, route.target, failed);
        if (fresh) ++trial.fresh;
        if (fresh && failed) ++trial.bad, ++bad_;
    }
}

Refusal Casting::refusal(const Try& request) const {
    if (mayPromise(request.attempts)) return {503, comeBack};
    const bool overdue = std::any_of(request.attempts.begin(), request.attempts.end(),
                                     [](const auto& attempt) { return attempt->end() == Event::overdue; });
    return {overdue ? 504 : 502, 0};
}

int Casting::linesAtMost(const Actor& actor) const {
    const auto* service = playbill_ ? playbill_->service(actor.listed.service) : nullptr;
    const double share =
        service ? static_cast<double>(service->maxConnections) * linesPart / static_cast<double>(foyers_) : 2;
    return std::max(2, static_cast<int>(share));
}

const verdict::Totals& Casting::totals(const std::string& service, const std::string& target) const {
    static const verdict::Totals none;
    const auto at = trials_.find(service + "\n" + target);
    return at == trials_.end() ? none : at->second->totals;
}

}  // namespace lichenlanding::casting
