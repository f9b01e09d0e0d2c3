/// Reads keys from a majority: all of them before contact counts as established, and later those of which
/// another replica knows more.
///
/// Runs on the event loop's thread, beside the checks of contact and membership, which never wait for it. The
/// object outlives its coroutines.
#pragma once

#include "control_plane/proposer.hpp"

namespace lichenlanding::control_plane {

class CatchUp {
  public:
    CatchUp(transport::asio::io_context& io, Proposer& proposer, ReplicaStorage& storage,
            QuorumContactMonitor& contact, Learner& learner);

    /// Reads every key, and then establishes contact if a majority is still in reach. One at a time.
    void startReadingAll();
    /// Retains what this disk lacks, and starts to read the keys that it is behind in. In contact only.
    void check();

  private:
    Task<> readAll();
    Task<> readBehind();

    transport::asio::io_context& io_;
    Proposer& proposer_;
    ReplicaStorage& storage_;
    QuorumContactMonitor& contact_;
    Learner& learner_;
    bool readingAll_ = false, readingBehind_ = false;
};

}  // namespace lichenlanding::control_plane
