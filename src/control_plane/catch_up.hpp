/// Reads keys from a majority: all keys before quorum contact counts as established, and later each key of
/// which another replica has a newer value.
///
/// Runs on the event loop's thread, concurrently with the checks of contact and membership, which never wait
/// for it. The object outlives its coroutines.
#pragma once

#include "control_plane/proposer.hpp"

namespace lichenlanding::control_plane {

class CatchUp {
  public:
    CatchUp(transport::asio::io_context& io, Proposer& proposer, QuorumContactMonitor& contact,
            Learner& learner);

    /// Reads every key, then establishes contact if a majority is still reachable. Does nothing while a run
    /// is in progress.
    void startReadingAll();
    /// Writes known values that this disk lacks, and starts to read the keys that are behind. Requires quorum
    /// contact.
    void check();

  private:
    Task<> readAll();
    Task<> readBehind();

    transport::asio::io_context& io_;
    Proposer& proposer_;
    QuorumContactMonitor& contact_;
    Learner& learner_;
    bool readingAll_ = false, readingBehind_ = false;
};

}  // namespace lichenlanding::control_plane
