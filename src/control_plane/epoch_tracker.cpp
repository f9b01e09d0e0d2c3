#include "control_plane/epoch_tracker.hpp"

#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

EpochTracker::EpochTracker(ReplicaStorage& storage, std::function<void()> onOpened)
    : storage_(storage), onOpened_(std::move(onOpened)) {}

void EpochTracker::restore() {
    const auto& stored = storage_.acceptor().epochState();
    if (stored.open) openEpoch_ = stored.epoch;
    handleNotice(notice());
}

void EpochTracker::handleNotice(const EpochNotice& notice) {
    if (notice.epoch.number > openEpoch_.number) adopt(notice.epoch);
    if (!notice.reconfiguration) return;
    const auto& to = notice.reconfiguration->second;
    if (to.number <= openEpoch_.number || (reconfiguration_ && reconfiguration_->second.number >= to.number))
        return;
    noteDecided(notice.reconfiguration->first, to);
}

void EpochTracker::noteDecided(const consensus::Epoch& from, const consensus::Epoch& to) {
    reconfiguration_ = {from, to};
    reconfigurationSince_ = now();
}

void EpochTracker::restartSuccessorDelay() { reconfigurationSince_ = now(); }

void EpochTracker::adopt(const consensus::Epoch& epoch) {
    const auto& acceptor = storage_.acceptor();
    const bool wasMember = openEpoch_.number == 0 || acceptor.isMember(openEpoch_);
    openEpoch_ = epoch;
    openedAt_ = now();
    if (reconfiguration_ && reconfiguration_->second.number <= epoch.number) reconfiguration_.reset();
    Json members = Json::array();
    for (const auto& member : epoch.members) members.push_back(member.address);
    const bool isMember = acceptor.isMember(epoch);
    log("epoch_opened", {{"number", epoch.number}, {"members", members}, {"votes", isMember}});
    if (!wasMember && isMember)
        log("membership_gained", {{"number", epoch.number}, {"disk", acceptor.disk()}});
    install();
    onOpened_();
}

void EpochTracker::install() {
    if (openEpoch_.number == 0 || isInstalled()) return;
    consensus::Request request;
    request.kind = consensus::Request::Kind::install;
    request.epoch = openEpoch_.number;
    request.successor = openEpoch_;
    request.open = true;
    storage_.submit(std::move(request));
}

bool EpochTracker::isInstalled() const {
    const auto& stored = storage_.acceptor().epochState();
    return stored.epoch.number > openEpoch_.number ||
           (stored.epoch.number == openEpoch_.number && stored.open);
}

std::set<std::string> EpochTracker::memberAddresses() const {
    std::set<std::string> addresses;
    for (const auto& member : openEpoch_.members) addresses.insert(member.address);
    return addresses;
}

EpochNotice EpochTracker::notice() const {
    const auto& stored = storage_.acceptor().epochState();
    EpochNotice notice;
    notice.epoch = stored.open && stored.epoch.number > openEpoch_.number ? stored.epoch : openEpoch_;
    if (stored.successor) notice.reconfiguration = {stored.epoch, *stored.successor};
    else if (!stored.open && stored.predecessor) notice.reconfiguration = {*stored.predecessor, stored.epoch};
    else notice.reconfiguration = reconfiguration_;
    return notice;
}

}  // namespace lichenlanding::control_plane
