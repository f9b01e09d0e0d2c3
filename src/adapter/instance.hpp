// One sidecar behind the wire: it holds the ids, turns lines into calls and calls on the Door into lines.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "adapter/wire.hpp"
#include "policy/policy_engine.hpp"

namespace lichenlanding::wire {

class Instance final : private Door {
  public:
    Instance(std::int64_t number, const Settings& settings, std::uint64_t seed, Nanos now, std::string& out);

    void read(Line& line, Nanos now, const std::vector<Row>* ledgers);

  private:
    void forward(const Forward& sent, Nanos timeout) override;
    void bounce(const Hit& hit, Nanos retryAfter) override;
    void error(const Hit& hit) override;
    void cancel(const Hit& hit, int shot) override;
    void probe(const Pod& pod) override;
    void tell(int peer, const std::string& bytes) override;
    void vote(Verdict verdict, int build, int stage) override;
    void wake(Nanos after) override;
    void listen() override;

    void say(const char* name, std::initializer_list<std::string> values);
    Hit* findHit(std::string_view id);
    Forward* findForward(Hit* hit, std::int64_t shot);
    Pod& pod(std::uint32_t id);
    const PathGroup& group(Line& line, const char* field);
    void letGo(Hit* hit);

    void readList(Line& line, const std::vector<Row>* ledgers);
    void readHit(Line& line);
    void readOutcomeLine(Line& line);
    void readNews(Line& line);

    std::string number_;
    std::string& out_;
    Settings settings_;
    std::unordered_map<std::string, std::unique_ptr<Hit>> hits_;  // looked up, never walked through
    std::unordered_map<std::uint32_t, std::unique_ptr<Pod>> pods_;
    Balance balance_;
};

}  // namespace lichenlanding::wire
