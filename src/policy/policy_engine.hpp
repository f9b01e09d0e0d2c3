// The interface of the decisions. Whoever hosts a sidecar makes one Balance, tells it of everything that
// happens by one call each, in order, and lets it speak through a Door. The host owns Hits and Pods, which
// keep their place in memory: a Hit until it has ended and none of its forwards is out, a Pod as long as the
// Balance lives. The clock is set by at() before the calls of a moment.
#pragma once

#include <memory>
#include <span>
#include <string>

#include "state.hpp"

namespace lichenlanding {

class Door {
  public:
    virtual ~Door() = default;
    virtual void forward(const Forward& sent, Nanos timeout) = 0;  // the newest of its hit
    virtual void bounce(const Hit& hit, Nanos retryAfter) = 0;     // 0: no advice
    virtual void error(const Hit& hit) = 0;
    virtual void cancel(const Hit& hit, int shot) = 0;
    virtual void probe(const Pod& pod) = 0;
    virtual void tell(int peer, const std::string& bytes) = 0;
    virtual void vote(Verdict verdict, int build, int stage) = 0;
    virtual void wake(Nanos after) = 0;
    virtual void listen() = 0;  // ask for the list and its changes, where it does not come by itself
};

class Balance {
  public:
    Balance(const Settings& settings, std::uint64_t seed, Door& door);
    ~Balance();

    void at(Nanos now);
    void listed(bool whole, std::span<const Listing> lines);
    void listFailed();
    void hit(Hit& hit);
    void head(Forward& forward);  // a streamed answer has begun
    void outcome(Forward& forward, Outcome outcome, Nanos took, bool closed);
    void hangup(Hit& hit);
    void report(Pod& pod, double holds);  // the hits that the pod says it holds
    void flagged(Pod& pod, Nanos age, const PathGroup& group);
    void heard(int peer, const std::string& bytes);
    void news(int build, int stage, Standing standing, bool answer, Outcome answered, double cap, Nanos age);
    // What signed metadata say of a build; asked for where settings need it.
    void attested(int build, Attestation attestation);
    void woke();

  private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

}  // namespace lichenlanding
