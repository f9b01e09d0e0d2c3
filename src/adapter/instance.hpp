// One sidecar's policy behind the simulator's line protocol.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "adapter/wire.hpp"
#include "policy/policy_engine.hpp"

namespace lichenlanding::adapter {

/// Translates lines to events of a PolicyEngine, and its effects to lines. Owns the requests and pods, which
/// lines refer to by id.
class Instance final : private PolicyHost {
  public:
    /// Replies are appended to `output`, which must outlive the instance.
    Instance(std::int64_t number, Settings settings, std::uint64_t seed, Nanos now, std::string& output);

    /// Handles one event line. `ledgers`: the 16 endpoint ledgers that lines refer to by slot. Throws
    /// ParseError.
    void handle(LineReader& line, Nanos now, const std::vector<EndpointRow>* ledgers);

  private:
    void forward(const Attempt& attempt, Nanos timeout) override;
    void reject(const Request& request, Nanos retryAfter) override;
    void fail(const Request& request) override;
    void cancel(const Request& request, int attempt) override;
    void probe(const Pod& pod) override;
    void sendToPeer(int peer, const std::string& bytes) override;
    void vote(Verdict verdict, int build, int stage) override;
    void scheduleTimer(Nanos delay) override;
    void watchEndpoints() override;

    void reply(const char* name, std::initializer_list<std::string> values);
    Request* findRequest(std::string_view id);
    Attempt* findAttempt(Request* request, std::int64_t index);
    Pod& pod(std::uint32_t id);
    Pod& readPod(LineReader& line);
    const PathGroup& readGroup(LineReader& line, const char* field);
    void releaseIfDone(Request* request);

    void handleNewRequest(LineReader& line);
    void handleOutcome(LineReader& line);
    void handleResponseHeaders(LineReader& line);
    void handleDisconnect(LineReader& line);
    void handleFlagged(LineReader& line);
    void handleProbeAnswer(LineReader& line);
    void handleSample(LineReader& line);
    void handleEndpoints(LineReader& line, const std::vector<EndpointRow>* ledgers);
    void handleRolloutUpdate(LineReader& line);
    void handlePeerMessage(LineReader& line);

    std::string number_;
    std::string& output_;
    Settings settings_;
    std::unordered_map<std::string, std::unique_ptr<Request>> requests_;  // never iterated
    std::unordered_map<std::uint32_t, std::unique_ptr<Pod>> pods_;
    PolicyEngine policy_;
};

}  // namespace lichenlanding::adapter
