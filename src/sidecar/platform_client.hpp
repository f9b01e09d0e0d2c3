// The release platform: votes and their answers, and the watch on which it tells its news.
#pragma once

#include <list>

#include "sidecar/messages.hpp"
#include "sidecar/watch_stream.hpp"

namespace lichenlanding::net {

class Desk {
  public:
    static constexpr Nanos silence = 4'000'000'000;  // four of the platform's signs of life

    using Heard = std::function<void(const StageNews&, bool answer, Outcome answered)>;
    using Disputed = std::function<void(const Dispute&)>;

    Desk(Loop& loop, const Address& address, Nanos connectWithin, Nanos answerWait,
         limits::Reopening reopening, Heard heard, Disputed disputed);

    void start() { stream_.start(true); }
    void move(const Address& address);  // votes that are out end where they are
    void vote(Verdict verdict, int build, int stage);

  private:
    bool line(std::string_view json);

    Loop& loop_;
    Address address_;
    Nanos connectWithin_, answerWait_;
    Heard heard_;
    Disputed disputed_;
    std::list<Connection> votes_;  // that are out
    Stream stream_;
};

}  // namespace lichenlanding::net
