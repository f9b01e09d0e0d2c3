// One hit's life, from the client's whole request to its answer and the end of its last forward.
#pragma once

#include "policy/policy_engine.hpp"
#include "sidecar/http_server.hpp"
#include "sidecar/task.hpp"
#include "sidecar/upstream_pool.hpp"

namespace lichenlanding::net {

// What a passage needs of the sidecar around it.
class Host {
  public:
    virtual ~Host() = default;
    virtual Nanos now() const = 0;
    virtual void decide(const std::function<void(Balance&)>& call) = 0;  // the one way to the decisions
    virtual Upstream& upstream() = 0;
    virtual bool opens(const std::string& id) = 0;    // false: a hit of that id is open
    virtual void left() = 0;                          // a client left before its answer
    virtual void passed(class Passage& passage) = 0;  // its life is over; it is freed later
};

class Passage {
  public:
    Passage(Host& host, const Settings& settings, std::unique_ptr<Caller> caller);

    void start() { life_ = life(); }
    const std::string& id() const { return hit_.id; }  // empty if it could not be a hit

    // What the decisions ask for, carried out after their call has returned.
    void forwardNewest(Nanos timeout) { next_ = timeout; }
    void bounce(Nanos retryAfter) { caller_->answer(503, {}, {}, retryAfter); }
    void error() { caller_->answer(500); }
    void cancel(int shot);

    static Passage& of(const Hit& hit) { return static_cast<const OpenHit&>(hit).passage; }

  private:
    struct OpenHit : Hit {
        explicit OpenHit(Passage& of) : passage(of) {}
        Passage& passage;
    };
    struct Sending;  // waited for: a forward's end

    Task life();
    int refusal();  // reads the request into the hit; 0, or the answer to one that cannot be a hit
    Call callFor(Nanos timeout) const;

    Host& host_;
    const Settings& settings_;
    std::unique_ptr<Caller> caller_;
    OpenHit hit_{*this};
    std::string mark_;
    std::optional<Nanos> next_;  // the newest forward is to go out, and may take so long
    Line* line_ = nullptr;       // of the forward that is out
    Task life_;
};

}  // namespace lichenlanding::net
