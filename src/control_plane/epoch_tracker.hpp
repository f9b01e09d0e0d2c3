/// Which epoch is open, and which reconfiguration has been decided and is not known to be done.
///
/// Runs on the event loop's thread.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "control_plane/peer_messages.hpp"
#include "control_plane/replica_storage.hpp"

namespace lichenlanding::control_plane {

class EpochTracker {
  public:
    /// `onOpened`: a newer epoch is known to be open, and is on its way to this disk.
    EpochTracker(ReplicaStorage& storage, std::function<void()> onOpened);

    /// Takes over what is on the disk; once, when that is loaded.
    void restore();
    /// What a replica, this one included, knows of epochs.
    void follow(const EpochNotice& notice);
    /// A newer epoch is open.
    void adopt(const consensus::Epoch& epoch);
    /// Puts the open epoch on this disk where it isn't: until then this replica answers nothing of it.
    void install();
    /// The members of `from` have decided that `to` follows.
    void noteDecided(const consensus::Epoch& from, const consensus::Epoch& to);
    /// Counts the time since the decision anew: carrying it out has just failed here.
    void restartSuccessorDelay();

    /// Number 0: founding, or nothing is known.
    const consensus::Epoch& open() const { return open_; }
    bool isFounded() const { return open_.number > 0; }
    Nanos openedAt() const { return openedAt_; }  ///< when this replica heard of it; 0: from its disk
    std::set<std::string> memberAddresses() const;
    /// The open epoch, or a newer one, is on this disk.
    bool isInstalled() const;
    const std::optional<std::pair<consensus::Epoch, consensus::Epoch>>& reconfiguration() const {
        return reconfiguration_;
    }
    Nanos reconfigurationSince() const { return reconfigurationSince_; }
    EpochNotice notice() const;

  private:
    ReplicaStorage& storage_;
    std::function<void()> onOpened_;
    consensus::Epoch open_;
    Nanos openedAt_ = 0;
    std::optional<std::pair<consensus::Epoch, consensus::Epoch>> reconfiguration_;  // from, to
    Nanos reconfigurationSince_ = 0;
};

}  // namespace lichenlanding::control_plane
