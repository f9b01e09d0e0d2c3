#include "routing/router.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "hashing/rendezvous.hpp"

namespace lichenlanding::routing {
namespace {

constexpr Nanos kMillisecond = 1'000'000, kSecond = 1000 * kMillisecond;
constexpr double kBudgetPart = 0.85;       // of the fleet's budget that proxies spend, each by its own share
constexpr Nanos kSettleFor = 2 * kSecond;  // until the others that start as well are known
constexpr double kHedgePart = 0.5;         // of that, which second sends beside one that is out may take
constexpr double kSharePart = 0.45;  // of the share that a version on trial may have, while it is watched
constexpr double kSlackPart = 0.7;   // of the sends beyond the share, to begin the watch with
constexpr double kGrantAtMost = 4;   // of these at one proxy, which may not know of others yet
constexpr Nanos kFocusFor = 500 * kMillisecond;  // the watch's share goes to the same few pods
constexpr double kRehearsalPart = 0.9;           // of it, that the watch and the rehearsal may come to
constexpr Nanos kRehearsalFor = 600 * kMillisecond;
constexpr double kCreditAtMost = 1.5;      // sends to it that may be saved up
constexpr Nanos kSkipFirst = 2 * kSecond;  // of a pod's life nothing counts for a version
constexpr double kOtherZone = 0.5;         // what a pod in another zone costs more, in usual answers
constexpr double kColdPace = 2;            // a pod that warms up is so much slower
constexpr double kReportFades = 400.0 * kMillisecond;
constexpr double kCrowdUsual =
    0.3;  // a difference that moves nothing to another zone: bytes between zones are priced
constexpr double kCrowdLearn = 0.03;  // weight of the newest report in its zone's usual wait
constexpr Nanos kMuteAfter =
    900 * kMillisecond;  // a pod that owes answers so long gets no more while others can
constexpr Nanos kRestFirst = 200 * kMillisecond, kRestAtMost = 4 * kSecond, kRestTurned = 120 * kMillisecond;
constexpr int kCutsInRow = 3;    // before a pod that breaks answers off rests
constexpr double kLearn = 0.15;  // weight of the newest answer in an average
constexpr double kHedgeTypical = 2.3,
                 kHedgeTarget = 0.6;  // a second send after so many usual times, or so much of the target
constexpr Nanos kHedgeAgainAtLeast = 50 * kMillisecond;  // after a second send that was not to be had
constexpr Nanos kLeastLeft = 15 * kMillisecond;          // with less time a send is pointless
constexpr std::int64_t kUnreachedMore = 2;  // attempts beyond max_attempts, where pods are not reached
constexpr int kOwnBad = 4;                  // bad answers of a version on trial seen here that stop it here
constexpr double kOwnBadPart = 0.3;
constexpr Nanos kComeBack = 150 * kMillisecond;
constexpr double kLinesPart = 0.8;  // of a pod's connections, that proxies share

constexpr Nanos kIdleUnlessTold = 4 * kSecond;  // how long a pod is taken to keep an idle connection
constexpr double kIdlePart = 0.7;               // of what it says
constexpr Nanos kCarefulIdle = 1500 * kMillisecond;

}  // namespace

Nanos idleLimit(Nanos told) {
    return static_cast<Nanos>(static_cast<double>(told > 0 ? told : kIdleUnlessTold) * kIdlePart);
}

bool safeToReuse(Nanos age, Nanos kept) { return age <= std::min(kCarefulIdle, kept); }

// Sends past the first of a request, against requests, in seconds' cells over a window.
struct Router::RetryBudget {
    static constexpr std::size_t cells = 32;
    std::array<std::pair<double, double>, cells> kept{};  // requests, further sends
    Nanos at = 0;

    std::pair<double, double>& cell(Nanos now) {
        const Nanos second_ = now / kSecond;
        if (at == 0 || second_ - at > static_cast<Nanos>(cells)) kept = {}, at = second_;
        while (at < second_) kept[static_cast<std::size_t>(++at) % cells] = {};
        return kept[static_cast<std::size_t>(at) % cells];
    }
    std::pair<double, double> over(Nanos now, Nanos window) {
        cell(now);
        std::pair<double, double> sum{};
        const auto count = std::min<Nanos>(window / kSecond, cells - 1);
        for (Nanos back = 0; back <= count; ++back) {
            if (back > at) break;
            const auto& [requests, further] = kept[static_cast<std::size_t>(at - back) % cells];
            sum.first += back < count ? requests : 0, sum.second += further;
        }
        return sum;
    }
};

struct Router::Canary {
    double credit = 0;               // sends that it may have now
    double granted = 0, unused = 0;  // sends beyond its share; of these, not yet credited
    double sent = 0, all = 0;        // to it, and to its service, since the order is known here
    int stage = 0;
    Nanos staged = 0;  // since when
    bool over = false;
    std::uint32_t fresh = 0, bad = 0;
    verdict::Totals totals;
};

Router::Router(const config::BootstrapSettings& boot, std::uint64_t seed)
    : zone_(boot.zone),
      ratio_(boot.retryBudgetRatio),
      slack_(boot.retrySlack),
      share_(boot.exposureShare),
      beyond_(boot.exposureSlack),
      window_(boot.retryBudgetWindow),
      chance_(seed) {}

void Router::take(std::shared_ptr<const config::Configuration> configuration) {
    if (configuration_ && configuration->version <= configuration_->version)
        return;  // CONFIG: never back in one life
    configuration_ = std::move(configuration);
}

void Router::apply(const discovery::EndpointEvent& event, Nanos now) {
    const auto& id = event.endpoint.id;
    auto at = hosts_.find(id);
    if (event.removed) {
        if (at == hosts_.end()) return;
        at->second->gone = true;
        std::erase(byService_[at->second->listed.service], at->second);
        hosts_.erase(at);
        return;
    }
    if (at == hosts_.end()) {
        auto actor = std::make_shared<UpstreamHost>();
        actor->listed = event.endpoint, actor->since = now,
        actor->slowStartUntil = now + event.endpoint.warmup;
        at = hosts_.emplace(id, actor).first;
        byService_[event.endpoint.service].push_back(actor);
        auto& settled = settled_[event.endpoint.service];
        const bool ordered = std::any_of(rollouts_.begin(), rollouts_.end(), [&](const auto& rollout) {
            return rollout.service == event.endpoint.service && rollout.target == event.endpoint.version;
        });
        if (settled.empty() && !ordered) settled.insert(event.endpoint.version);
    }
    at->second->listed.draining = event.endpoint.draining;
}

void Router::rollouts(std::vector<messages::Rollout> rollouts, Nanos now) {
    const bool here = std::exchange(rolloutsKnown_, true);  // else an order may have been granted before
    rollouts_ = std::move(rollouts);
    std::map<std::string, const messages::Rollout*> last;  // a version may be ordered anew
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
            trial = std::make_shared<Canary>();
            const double grant = beyond_ * kSlackPart / static_cast<double>(proxies_) +
                                 static_cast<double>(chance_() % 1000) / 1000;
            if (here && rollout.running()) trial->granted = std::floor(std::min(grant, kGrantAtMost));
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
Router::Side Router::side(const UpstreamHost& actor) const {
    const auto& [service, version] = std::tie(actor.listed.service, actor.listed.version);
    const messages::Rollout *own = nullptr, *done = nullptr;
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

bool Router::usable(const UpstreamHost& actor, Nanos now) const {
    return !actor.gone && !actor.listed.draining && now >= actor.backoffUntil &&
           (actor.unansweredSince == 0 || now - actor.unansweredSince < kMuteAfter);
}

void Router::company(std::size_t proxies, Nanos now) {
    proxies_ = std::max<std::size_t>(proxies, 1);
    while (known_.size() > 1 && now - known_[1].first > window_) known_.pop_front();
    known_.emplace_back(now, proxies_);
}

// Among how many the slack is shared. After a loss of many, or at a start, the others are on their way back
// and will count on their part of the same window: the most known of late.
std::size_t Router::sharers(Nanos now) const {
    std::size_t most = 1;
    for (std::size_t at = 0; at < known_.size(); ++at)
        if (at + 1 == known_.size() || now - known_[at + 1].first <= window_)
            most = std::max(most, known_[at].second);
    return most;
}

// By how much longer pods of the own zone have made requests wait than those of the quietest other one.
double Router::crowding(const std::string& service) const {
    const auto own = crowds_.find({service, zone_});
    if (own == crowds_.end()) return 0;
    double least = own->second;
    for (auto at = crowds_.lower_bound({service, ""}); at != crowds_.end() && at->first.first == service;
         ++at)
        least = std::min(least, at->second);
    return std::max(0.0, own->second - least - kCrowdUsual);
}

double Router::cost(const UpstreamHost& actor, Nanos now) const {
    const double slots = std::max(actor.listed.slots, 1);
    const auto wait = [&](double load) {
        return std::max(0.0, load + 1 - slots) / slots + 0.15 * load / slots;
    };
    // A pod's last word fades; then what pods of its zone have said of late stands for it. One proxy of many
    // hears of a pod every few seconds at best, and would take its own full zone for an empty one.
    const double fresh =
        actor.reportedAt == 0 ? 0 : std::exp(-static_cast<double>(now - actor.reportedAt) / kReportFades);
    const double usual = actor.listed.zone == zone_ ? crowding(actor.listed.service) : 0;
    const double told = wait(actor.out + fresh * std::max(0, actor.held - actor.inFlightAtReport));
    const double pace = actor.pace * (now < actor.slowStartUntil ? kColdPace : 1);
    return pace * (1 + told + (1 - fresh) * usual) + (actor.listed.zone == zone_ ? 0 : kOtherZone);
}

Router::RetryBudget& Router::budget(const std::string& service) {
    auto& budget = budgets_[service];
    if (!budget) budget = std::make_shared<RetryBudget>();
    return *budget;
}

bool Router::begin(RoutedRequest& request, std::string_view host, std::string_view path, Nanos now,
                   Nanos clientTime) {
    request.route = configuration_ ? configuration_->findRoute(host, path) : nullptr;
    if (!request.route) return false;
    const auto& route = *request.route;
    request.service = route.serviceForDraw(
        static_cast<std::int64_t>(chance_() % static_cast<std::uint64_t>(route.totalWeight)));
    request.arrived = now;
    request.deadline = now + std::min(clientTime, route.timeout);
    budget(request.service).cell(now).first += 1;
    return true;
}

bool Router::mayGoOn(const RoutedRequest& request, Nanos now) const {
    // A pod that was not reached was not sent it; but a request is not held for long over such pods.
    return mayAttempt(request.attempts, request.route->repeatable) &&
           static_cast<std::int64_t>(arrivals(request.attempts)) < request.route->maxAttempts &&
           static_cast<std::int64_t>(request.attempts.size()) < request.route->maxAttempts + kUnreachedMore &&
           request.deadline - now > kLeastLeft;
}

bool Router::warm(const UpstreamHost& actor, Nanos now) const {
    return now - actor.since >= kSkipFirst && now >= actor.slowStartUntil;
}

// A share that is spread over as many new pods as there are old ones never loads one, and what fails only
// under load would show with all traffic. So all proxies send it to the same few at a time, as many as it
// loads like the rest, and to others twice a second: their paces differ. Pods whose outcomes do not count yet
// get none of it.
std::size_t Router::few(std::size_t pods) const {
    return static_cast<std::size_t>(std::ceil(static_cast<double>(pods) * share_ * kSharePart));
}

void Router::focus(Places& near, Places& far, const std::string& target, Nanos now) const {
    std::vector<std::string> names;
    const auto count = few(near.size() + far.size());
    for (auto* place : {&near, &far})
        std::erase_if(*place, [&](const auto* actor) { return !warm(**actor, now); });
    for (const auto* place : {&near, &far})
        for (const auto* actor : *place) names.push_back((*actor)->listed.id);
    const auto turn = (now + offset_) / kFocusFor;
    const auto chosen = hashing::rendezvousSelect(names, target + std::to_string(turn), count);
    for (auto* place : {&near, &far})
        std::erase_if(*place, [&](const auto* actor) {
            return std::find(chosen.begin(), chosen.end(), (*actor)->listed.id) == chosen.end();
        });
}

std::shared_ptr<Attempt> Router::next(RoutedRequest& request, Nanos now) {
    if (!mayGoOn(request, now)) return nullptr;
    // BUDGET: any arrival past a request's first is paid for before it is sent.
    const bool further = arrivals(request.attempts) > 0;
    auto& spent = budget(request.service);
    if (further) {
        const auto [requests, sends] = spent.over(now, window_);
        // At a start nobody knows yet among how many it is shared.
        const double slack = known_.empty() || now - known_.front().first < kSettleFor
                                 ? 0
                                 : slack_ / static_cast<double>(sharers(now));
        const double allowed = (ratio_ * requests + slack) * kBudgetPart;
        if (sends + 1 > allowed * (inFlight(request.attempts) > 0 ? kHedgePart : 1)) return nullptr;
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
        const bool stopped = trial.bad >= kOwnBad && trial.bad > trial.fresh * kOwnBadPart;
        if (stopped || there == 0) continue;
        // The rehearsal: all of the requests for a moment, within what the share has left unused so far. What
        // fails only under load shows here, before it may have all.
        const bool rehearsing = rollout.stage == 1 && now - trial.staged < kRehearsalFor &&
                                trial.sent + 1 <= (trial.all + 1) * share_ * kRehearsalPart + trial.granted;
        if (!target && (rollout.stage > 1 || rehearsing)) target = &rollout.target;
        if (rollout.stage > 1 || rehearsing || further || warmed == 0) continue;
        // The few get what an earlier pod gets: of the share, and of the grant what that lacks.
        const double fair = static_cast<double>(few(there)) / static_cast<double>(there);
        const double steady = std::min(share_ * kSharePart, fair);
        const double more = std::min(fair - steady, trial.unused);
        if (trial.credit < kCreditAtMost) trial.credit += steady + more, trial.unused -= more;
        if (trial.credit >= 1) trial.credit -= 1, target = &rollout.target, watched = true;
    }
    const std::size_t from = target ? 1 : 0;
    if (target)
        for (auto* place : {&near[1], &far[1]})
            std::erase_if(*place, [&](const auto* actor) { return (*actor)->listed.version != *target; });
    if (watched) focus(near[1], far[1], *target, now);
    std::shared_ptr<UpstreamHost> best;
    double least = 0;
    const auto look = [&](const std::vector<const std::shared_ptr<UpstreamHost>*>& place, int draws) {
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
    if (best->out++ == 0) best->unansweredSince = now;
    request.attempts.push_back(std::make_shared<Attempt>(best));
    return request.attempts.back();
}

Nanos Router::hedgeAt(const RoutedRequest& request, Nanos sentAt) const {
    if (!request.route->repeatable) return request.deadline;
    const auto at = typical_.find(request.route->name);
    const double target = static_cast<double>(request.route->target);
    const double after =
        std::min(at == typical_.end() ? target : kHedgeTypical * at->second, kHedgeTarget * target);
    return std::min(request.deadline, sentAt + static_cast<Nanos>(after));
}

Nanos Router::nextHedgeCheckAt(const RoutedRequest& request, Nanos now) const {
    if (!request.route->repeatable) return request.deadline;
    const auto at = typical_.find(request.route->name);
    const double usual = at == typical_.end() ? static_cast<double>(request.route->target) / 3 : at->second;
    return std::min(request.deadline, now + std::max(static_cast<Nanos>(usual / 2), kHedgeAgainAtLeast));
}

void Router::reported(UpstreamHost& actor, int running, int waiting, Nanos now) {
    actor.held = running + waiting, actor.inFlightAtReport = actor.out, actor.reportedAt = now;
    const double slots = std::max(actor.listed.slots, 1);
    const double waits = std::max(0.0, running + waiting + 1 - slots) / slots;
    auto& crowd = crowds_.try_emplace({actor.listed.service, actor.listed.zone}, waits).first->second;
    crowd += kCrowdLearn * (waits - crowd);
}

void Router::ended(RoutedRequest& request, Attempt& attempt, AttemptEvent end, int status, Nanos took,
                   Nanos now) {
    attempt.on(end);
    auto& actor = *attempt.actor();
    // Where nothing is out nothing is owed, however it ended: else a pod that failed once would count as mute
    // until it is drawn for want of others.
    if (--actor.out == 0) actor.unansweredSince = 0;
    else if (end == AttemptEvent::answered || end == AttemptEvent::turned || end == AttemptEvent::elsewhere)
        actor.unansweredSince = now;
    const auto rest = [&](Nanos first) {
        actor.backoffUntil = now + std::min(first << std::min(actor.failures, 5), kRestAtMost);
    };
    if (end == AttemptEvent::answered) {
        actor.failures = 0;
    } else if (end == AttemptEvent::turned) {
        actor.backoffUntil = now + kRestTurned;
    } else if (end == AttemptEvent::elsewhere) {
        actor.gone = true;  // ROUTE: the address has another pod; the list will say so
    } else if (end == AttemptEvent::unreached || end == AttemptEvent::overdue) {
        rest(kRestFirst), ++actor.failures;
    } else if (++actor.failures >= kCutsInRow) {
        rest(kRestFirst);
    }
    const bool failed = end == AttemptEvent::cut || end == AttemptEvent::spoilt ||
                        end == AttemptEvent::overdue || (end == AttemptEvent::answered && status >= 500);
    const auto& route = *request.route;
    if (end == AttemptEvent::answered && status < 300) {
        auto& typical = typical_.try_emplace(route.name, static_cast<double>(route.target) / 3).first->second;
        const double ratio = static_cast<double>(took) / typical;
        typical += kLearn * (static_cast<double>(took) - typical);
        if (now >= actor.slowStartUntil) actor.pace += kLearn * (std::clamp(ratio, 0.2, 5.0) - actor.pace);
    }
    if (attempt.state() == AttemptState::surelyNotRun || !warm(actor, now)) return;
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

LocalReply Router::refusal(const RoutedRequest& request) const {
    if (mayPromiseNotRun(request.attempts)) return {503, kComeBack};
    const bool overdue =
        std::any_of(request.attempts.begin(), request.attempts.end(),
                    [](const auto& attempt) { return attempt->end() == AttemptEvent::overdue; });
    return {overdue ? 504 : 502, 0};
}

int Router::maxConnections(const UpstreamHost& actor) const {
    const auto* service = configuration_ ? configuration_->findService(actor.listed.service) : nullptr;
    const double share =
        service ? static_cast<double>(service->maxConnections) * kLinesPart / static_cast<double>(proxies_)
                : 2;
    return std::max(2, static_cast<int>(share));
}

const verdict::Totals& Router::totals(const std::string& service, const std::string& target) const {
    static const verdict::Totals none;
    const auto at = trials_.find(service + "\n" + target);
    return at == trials_.end() ? none : at->second->totals;
}

}  // namespace lichenlanding::routing
