// The duty for the platform's list: asks for it, whole, within the platform's rate, and pushes what changed.
#pragma once

#include "callboard/callboard.hpp"
#include "playbill/boot.hpp"
#include "wings/loop.hpp"

namespace lichenlanding::prompter {

class ListDuty {
  public:
    using Json = nlohmann::json;

    // `held`: whether the duty is this prompter's now; `tell`: to all foyers. All outlive this.
    ListDuty(wings::asio::io_context& io, const playbill::Boot& boot, callboard::Callboard& board,
             std::function<bool()> held, std::function<void(const Json&)> tell)
        : io_(io), boot_(boot), board_(board), held_(std::move(held)), tell_(std::move(tell)) {}

    wings::Task<> poll();  // for good; off duty it only waits

    std::uint64_t calls() const { return calls_; }      // pages asked for
    std::uint64_t refused() const { return refused_; }  // of these, over the platform's rate

  private:
    Nanos callGap() const;
    void took(const std::vector<troupe::Member>& members, std::int64_t asked);

    wings::asio::io_context& io_;
    const playbill::Boot& boot_;
    callboard::Callboard& board_;
    std::function<bool()> held_;
    std::function<void(const Json&)> tell_;
    std::uint64_t calls_ = 0, refused_ = 0;
    Nanos compared_ = 0;
};

}  // namespace lichenlanding::prompter
