#include "sidecar/sidecar.hpp"

#include <malloc.h>

#include <algorithm>

namespace lichenlanding::net {
namespace {

// New connections keep coming for so long after a stop was asked for, and a little more for safety.
constexpr Nanos newcomersFor = 600'000'000;
constexpr Nanos leaveLook = 10'000'000;
constexpr Nanos gaugeEvery = 60'000'000'000;  // between lines on memory

// Of the descriptors few are for the other parties; the rest are shared by pods' connections and clients'.
constexpr int otherDescriptors = 32;
int podConnections(int descriptors) { return std::max(descriptors / 2 - otherDescriptors, 1); }
// Clients may be many, each with a connection of its own that it keeps, and they hold no more than a third of
// the descriptors: idle ones must go before that, or new clients cannot come.
std::size_t clientsAtEase(int descriptors) { return static_cast<std::size_t>(std::max(descriptors / 4, 1)); }
std::size_t clientConnections(int descriptors) {
    return static_cast<std::size_t>(
        std::max(descriptors - podConnections(descriptors) - otherDescriptors, 1));
}

// Connections to and of mirrors come out of what hits have; each direction of them is bounded.
Config withTrust(Config config, const std::optional<TrustConfig>& trust) {
    if (!trust) return config;
    config.settings.attestationNeeded = true;
    if (trust->serve) config.sockets -= static_cast<int>(trust->serveConnections);
    if (config.sockets < 2 * otherDescriptors)
        throw std::invalid_argument("serve.connections: too many for limits.sockets");
    return config;
}

}  // namespace

Sidecar::Sidecar(const Config& config, const std::optional<TrustConfig>& trust)
    : config_(withTrust(config, trust)),
      upstream_(loop_, config_.settings.connectWithin, config_.settings.keepIdle,
                podConnections(config_.sockets)),
      balance_(config_.settings, config_.seed, *this),
      discovery_(
          loop_, config_.discovery, config_.settings.connectWithin,
          limits::Reopening(Discovery::silence, static_cast<std::uint32_t>(config_.seed), config_.settings),
          config_.settings.zones, upstream_,
          [this](bool whole, std::vector<Listing> lines) {
              decide([&](Balance& balance) { balance.listed(whole, lines); });
              if (trust_)
                  for (const auto& line : lines) trust_->named(line.build);
          }),
      desk_(
          loop_, config_.platform, config_.settings.connectWithin, config_.settings.answerWait,
          // votes wait for it: not spread
          limits::Reopening(Desk::silence, static_cast<std::uint32_t>(config_.seed >> 32)),
          [this](const StageNews& news, bool answer, Outcome answered) {
              decide([&](Balance& balance) {
                  balance.news(news.build, news.stage, news.standing, answer, answered, news.cap, news.age);
              });
              if (trust_) trust_->named(news.build);
          },
          [this](const Dispute& dispute) {
              auto* place = upstream_.known(dispute.pod);
              for (const auto& group : config_.settings.groups)
                  if (place && group.name == dispute.group)
                      decide([&](Balance& balance) { balance.flagged(*place, dispute.age, group); });
          }),
      peers_(loop_, config_.peerListen, config_.peers, config_.peersAll,
             [this](int peer, const std::string& bytes) {
                 decide([&](Balance& balance) { balance.heard(peer, bytes); });
             }),
      front_(
          loop_, config_.listen, clientsAtEase(config_.sockets), clientConnections(config_.sockets),
          [this](std::unique_ptr<Caller> caller) { took(std::move(caller)); },
          [this] {
              if (discovery_.any() && !std::exchange(ready_, true)) log(Kind::ready, config_.name);
              return discovery_.any();
          }),
      wake_(loop_, [this] { decide([](Balance& balance) { balance.woke(); }); }),
      leave_(loop_, [this] { leaveIfDone(); }),
      gauge_(loop_, [this] { gauge(); }) {
    if (trust)
        trust_.emplace(loop_, *trust, static_cast<std::uint32_t>(config_.seed >> 16),
                       [this](int build, Attestation attestation) {
                           decide([&](Balance& balance) { balance.attested(build, attestation); });
                       });
    decide([](Balance& balance) { balance.woke(); });
    if (config_.news) {
        if (trust_) trust_->named(config_.news->build);
        const auto& news = *config_.news;
        decide([&](Balance& balance) {
            balance.news(news.build, news.stage, news.standing, false, Outcome::delivered, news.cap,
                         news.age);
        });
    }
    discovery_.start(config_.known);
    desk_.start();
    if (trust_) trust_->start();
    log(Kind::start, config_.name + " listens on " + front_.address().text());
    gauge_.in(gaugeEvery);
}

// Once a minute what grows with hits, clients and pods, so that a long day shows whether memory stays flat.
void Sidecar::gauge() {
    const auto heap = mallinfo2();
    log(Kind::memory, "heap " + std::to_string((heap.uordblks + heap.hblkhd) >> 10) + " kB, " +
                          std::to_string(passages_.size()) + " hits open, " + std::to_string(open_.size()) +
                          " ids, " + std::to_string(front_.open()) + " clients, " +
                          std::to_string(upstream_.open()) + " connections to pods, " +
                          std::to_string(upstream_.places()) + " pods ever listed");
    gauge_.in(gaugeEvery);
}

Sidecar::~Sidecar() = default;

void Sidecar::run() { loop_.run(); }

// The decisions speak while they are called. What they ask for is carried out after the call has returned, so
// that nothing calls them again meanwhile or frees what they are looking at.
void Sidecar::decide(const std::function<void(Balance&)>& call) {
    if (deciding_) return loop_.later([this, call] { decide(call); });
    deciding_ = true;
    balance_.at(loop_.now());
    try {
        call(balance_);
    } catch (...) {
        deciding_ = false;
        throw;
    }
    deciding_ = false;
    std::vector<std::function<void()>> asked;
    asked.swap(asked_);
    for (auto& carryOut : asked) carryOut();
}

void Sidecar::forward(const Forward& sent, Nanos timeout) { Passage::of(*sent.hit).forwardNewest(timeout); }
void Sidecar::bounce(const Hit& hit, Nanos retryAfter) {
    asked_.push_back([&hit, retryAfter] { Passage::of(hit).bounce(retryAfter); });
}
void Sidecar::error(const Hit& hit) {
    asked_.push_back([&hit] { Passage::of(hit).error(); });
}
void Sidecar::cancel(const Hit& hit, int shot) {
    asked_.push_back([&hit, shot] { Passage::of(hit).cancel(shot); });
}

void Sidecar::probe(const Pod& pod) {
    asked_.push_back([this, &place = upstream_.place(static_cast<const Place&>(pod).name)] {
        const Call call{EVHTTP_REQ_GET, paths::load, {{"Host", place.address.text()}}, {}};
        upstream_.send(place, call, config_.settings.connectWithin, [this, &place](Return back) {
            const auto holds = readHolds(back.load.empty() ? back.body : back.load);
            if (back.ending == Ending::answered && holds >= 0)
                decide([&](Balance& balance) { balance.report(place, holds); });
        });
    });
}

void Sidecar::tell(int peer, const std::string& bytes) { peers_.tell(peer, bytes); }
void Sidecar::vote(Verdict verdict, int build, int stage) {
    asked_.push_back([this, verdict, build, stage] { desk_.vote(verdict, build, stage); });
}
void Sidecar::wake(Nanos after) { wake_.in(after); }

void Sidecar::took(std::unique_ptr<Caller> caller) {
    if (static_cast<int>(passages_.size()) >= config_.settings.maxOpen) {
        log(Kind::overload, std::to_string(passages_.size()) + " hits open: no more are taken");
        return caller->answer(503);
    }
    Host& host = *this;
    passages_.push_back(std::make_unique<Passage>(host, config_.settings, std::move(caller)));
    passages_.back()->start();
}

void Sidecar::passed(Passage& passage) {
    if (!passage.id().empty()) open_.erase(passage.id());
    loop_.later([this, &passage] {
        passages_.remove_if([&](auto& held) { return held.get() == &passage; });
        if (stopped_ >= 0) leaveIfDone();
    });
}

void Sidecar::reload(const Config& config) {
    log(Kind::start,
        "reloads: discovery " + config.discovery.text() + ", platform " + config.platform.text());
    discovery_.move(config.discovery);
    desk_.move(config.platform);
}

void Sidecar::reload(const TrustConfig& trust) {
    if (trust_) trust_->reload(trust);
}

void Sidecar::stop() {
    if (stopped_ >= 0) return;
    stopped_ = loop_.now();
    log(Kind::stop, std::to_string(passages_.size()) + " hits open");
    front_.closeAfterAnswers();
    if (trust_) trust_->stop();
    leave_.in(newcomersFor);
}

// What a client has written is taken for as long as new connections may come, and what is taken is answered:
// the end waits until the last answer is written, and the last half of a request is whole or out of time.
void Sidecar::leaveIfDone() {
    if (loop_.now() - stopped_ < newcomersFor) return;
    leave_.in(leaveLook);
    if (front_.anyWaiting() || front_.open() > 0 || !passages_.empty()) return;
    log(Kind::stop, "all hits answered");
    loop_.stop();
}

}  // namespace lichenlanding::net
