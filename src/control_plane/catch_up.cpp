#include "control_plane/catch_up.hpp"

#include <algorithm>

#include "control_plane/register_keys.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

CatchUp::CatchUp(asio::io_context& io, Proposer& proposer, QuorumContactMonitor& contact, Learner& learner)
    : io_(io), proposer_(proposer), contact_(contact), learner_(learner) {}

void CatchUp::startReadingAll() {
    if (!readingAll_) spawn(io_, "register", readAll());
}

Task<> CatchUp::readAll() {
    readingAll_ = true;
    bool allRead = true;
    for (const auto& key : kKeys) {
        if (!allRead) break;
        const auto value = co_await proposer_.read(key, kSecond);
        allRead = value.has_value();
    }
    readingAll_ = false;
    if (allRead && contact_.isReachable() && !contact_.hasContact()) contact_.establish();
}

void CatchUp::check() {
    for (const auto& key : kKeys)
        if (!learner_.isBehind(key)) learner_.retain(key);
    const bool behind =
        std::any_of(kKeys.begin(), kKeys.end(), [&](const auto& key) { return learner_.isBehind(key); });
    if (behind && !readingBehind_) spawn(io_, "register", readBehind());
}

Task<> CatchUp::readBehind() {
    readingBehind_ = true;
    for (const auto& key : kKeys) {
        if (!learner_.isBehind(key)) continue;
        const auto value = co_await proposer_.read(key, kSecond);
        if (value) learner_.noteRead(key);
    }
    readingBehind_ = false;
}

}  // namespace lichenlanding::control_plane
