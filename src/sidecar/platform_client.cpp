#include "sidecar/platform_client.hpp"

namespace lichenlanding::net {
namespace {

const char* wordOf(Verdict verdict) {
    static constexpr const char* words[] = {"none", "on", "hold", "back"};
    return words[static_cast<int>(verdict)];
}

}  // namespace

Desk::Desk(Loop& loop, const Address& address, Nanos connectWithin, Nanos answerWait,
           limits::Reopening reopening, Heard heard, Disputed disputed)
    : loop_(loop),
      address_(address),
      connectWithin_(connectWithin),
      answerWait_(answerWait),
      heard_(std::move(heard)),
      disputed_(std::move(disputed)),
      stream_(
          loop, address, Kind::platform, connectWithin, silence, reopening, [] { return paths::news; },
          [this](std::string_view json) { return line(json); }) {}

// Each vote has a connection of its own: votes are rare, and a kept connection may have died of idleness.
void Desk::vote(Verdict verdict, int build, int stage) {
    votes_.emplace_back(loop_, address_, longestBody);
    const auto at = std::prev(votes_.end());
    const Call call{
        EVHTTP_REQ_POST,
        paths::verdicts,
        {{"Host", address_.text()}, {"Content-Type", "application/json"}, {"Connection", "close"}},
        voteText(verdict, build, stage)};
    const auto name = std::string(wordOf(verdict)) + " on build " + std::to_string(build) + " stage " +
                      std::to_string(stage);
    at->call(call, connectWithin_, answerWait_, [this, at, name](Return back) {
        auto answered = outcomeOfVote(back.ending, back.code);
        const auto news = readStageNews(back.body);
        if (answered == Outcome::delivered && !news) answered = Outcome::overdue;  // it may have counted
        const bool counted = answered == Outcome::delivered;
        log(Kind::vote, name + (counted ? " counts"
                                        : std::string(" does not count: ") + nameOf(back.ending) + " " +
                                              std::to_string(back.code)));
        loop_.later([this, at] { votes_.erase(at); });
        heard_(news.value_or(StageNews{}), true, answered);
    });
}

void Desk::move(const Address& address) {
    address_ = address;
    stream_.move(address);
}

bool Desk::line(std::string_view json) {
    const auto told = readPlatformLine(json);
    if (!told) {
        log(Kind::platform, "cannot read " + std::string(json.substr(0, 120)));
        return false;  // nor can what follows be trusted; a new watch tells the newest build's state again
    }
    if (const auto* news = std::get_if<StageNews>(&*told)) heard_(*news, false, Outcome::delivered);
    if (const auto* dispute = std::get_if<Dispute>(&*told)) disputed_(*dispute);
    return true;
}

}  // namespace lichenlanding::net
