/// Tracks which epoch is open, and a reconfiguration that is decided but not known to be complete.
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
    /// `onOpened` is called when a newer epoch is known to be open; its write to this disk has been queued.
    EpochTracker(ReplicaStorage& storage, std::function<void()> onOpened);

    /// Restores the state from the disk. Called once, after it is loaded.
    void restore();
    /// Merges what another replica, or this one, knows of epochs.
    void handleNotice(const EpochNotice& notice);
    /// Switches to a newer epoch that is open.
    void adopt(const consensus::Epoch& epoch);
    /// Writes the open epoch to this disk unless it is there. Until then this replica answers no request of
    /// it.
    void install();
    /// Records that the members of `from` have decided on `to` as its successor.
    void noteDecided(const consensus::Epoch& from, const consensus::Epoch& to);
    /// Restarts the delay before the decided change is attempted, after an attempt here has failed.
    void restartSuccessorDelay();

    /// Its number is 0 during founding, and while no epoch is known.
    const consensus::Epoch& openEpoch() const { return openEpoch_; }
    bool isFounded() const { return openEpoch_.number > 0; }
    Nanos openedAt() const { return openedAt_; }  ///< when this replica learned of it; 0 if read from disk
    std::set<std::string> memberAddresses() const;
    /// Whether the open epoch, or a newer one, is on this disk.
    bool isInstalled() const;
    const std::optional<std::pair<consensus::Epoch, consensus::Epoch>>& reconfiguration() const {
        return reconfiguration_;
    }
    Nanos reconfigurationSince() const { return reconfigurationSince_; }
    EpochNotice notice() const;

  private:
    ReplicaStorage& storage_;
    std::function<void()> onOpened_;
    consensus::Epoch openEpoch_;
    Nanos openedAt_ = 0;
    std::optional<std::pair<consensus::Epoch, consensus::Epoch>> reconfiguration_;  // from, to
    Nanos reconfigurationSince_ = 0;
};

}  // namespace lichenlanding::control_plane
