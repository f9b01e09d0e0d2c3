// One sidecar: it owns the event loop and the parts, lets the decisions speak to them, and starts and stops.
#pragma once

#include <list>
#include <optional>
#include <unordered_set>

#include "policy/policy_engine.hpp"
#include "sidecar/config.hpp"
#include "sidecar/discovery_client.hpp"
#include "sidecar/http_server.hpp"
#include "sidecar/peer_transport.hpp"
#include "sidecar/platform_client.hpp"
#include "sidecar/request_handler.hpp"
#include "sidecar/trust_manager.hpp"
#include "sidecar/upstream_pool.hpp"

namespace lichenlanding::net {

class Sidecar final : private Door, private Host {
  public:
    // Listens; throws if it cannot. With a file on trust, builds need valid signed metadata.
    explicit Sidecar(const Config& config, const std::optional<TrustConfig>& trust = {});
    ~Sidecar() override;

    void run();  // until stop() has come to its end
    // Takes discovery's and the platform's address from it; what is under way goes on.
    void reload(const Config& config);
    void reload(const TrustConfig& trust);
    void stop();  // no longer ready; returns from run() once what was taken is answered
    Loop& loop() { return loop_; }
    Address address() const { return front_.address(); }
    std::size_t open() const { return passages_.size(); }  // hits that are not over
    const Trust* trust() const { return trust_ ? &*trust_ : nullptr; }
    std::size_t gone() const { return gone_; }  // hits whose client left before their answer

  private:
    void forward(const Forward& sent, Nanos timeout) override;
    void bounce(const Hit& hit, Nanos retryAfter) override;
    void error(const Hit& hit) override;
    void cancel(const Hit& hit, int shot) override;
    void probe(const Pod& pod) override;
    void tell(int peer, const std::string& bytes) override;
    void vote(Verdict verdict, int build, int stage) override;
    void wake(Nanos after) override;
    void listen() override {}  // the list and its changes come by themselves

    Nanos now() const override { return loop_.now(); }
    bool opens(const std::string& id) override { return open_.insert(id).second; }
    void left() override { ++gone_; }
    void decide(const std::function<void(Balance&)>& call) override;
    Upstream& upstream() override { return upstream_; }
    void passed(Passage& passage) override;

    void took(std::unique_ptr<Caller> caller);
    void gauge();
    void leaveIfDone();

    Config config_;
    Loop loop_;
    Upstream upstream_;
    Balance balance_;
    Discovery discovery_;
    Desk desk_;
    Peers peers_;
    Front front_;
    std::optional<Trust> trust_;
    Timer wake_, leave_, gauge_;
    bool deciding_ = false;
    std::vector<std::function<void()>> asked_;  // by the decisions, during their call
    std::list<std::unique_ptr<Passage>> passages_;
    std::unordered_set<std::string> open_;  // ids of hits; looked up, never walked
    bool ready_ = false;                    // and the log knows
    std::size_t gone_ = 0;
    Nanos stopped_ = -1;
};

}  // namespace lichenlanding::net
