/// Sends the requests of proposals and reconfigurations to the members of their epoch, including this
/// replica, and delivers each reply to the exchange that waits for it.
///
/// Runs on the event loop's thread.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control_plane/peer_directory.hpp"
#include "control_plane/replica_storage.hpp"

namespace lichenlanding::control_plane {

struct StagedRequest {
    RequestStage stage;
    consensus::Request request;
};

/// A proposal or reconfiguration in progress.
class Exchange {
  public:
    explicit Exchange(transport::asio::io_context& io) : progress(io) {}
    virtual ~Exchange() = default;
    virtual const consensus::Epoch& targetEpoch() const = 0;  ///< receives the requests
    virtual std::vector<StagedRequest> requests() const = 0;  ///< of the current step
    /// `member` is the sender's index in targetEpoch(). Returns whether requests() has changed.
    virtual bool handleReply(std::uint32_t member, const RequestStage& stage,
                             const consensus::Reply& reply) = 0;

    transport::AsyncEvent progress;  ///< notified when requests() changes and when an epoch opens
};

class RequestBroker {
  public:
    RequestBroker(ReplicaStorage& storage, PeerDirectory& peers, std::string address);

    /// Registers an exchange under a new id. Sends nothing yet.
    std::uint64_t begin(std::shared_ptr<Exchange> exchange);
    /// Unregisters an exchange. Later replies to it are dropped.
    void end(std::uint64_t id) { exchanges_.erase(id); }
    /// Sends the current requests to all members of the target epoch.
    void send(std::uint64_t id);
    /// Sends the current requests of every exchange to a peer that has just connected.
    void onPeerConnected(const std::string& address);
    void handleReply(const ReplyMessage& message, const std::string& from);
    /// Wakes up every exchange, so that it checks the open epoch again.
    void notifyAll();

  private:
    void send(std::uint64_t id, const Exchange& exchange, const std::string* onlyTo);
    void sendToSelf(std::uint64_t id, const StagedRequest& staged);

    ReplicaStorage& storage_;
    PeerDirectory& peers_;
    const std::string address_;  // of this replica
    std::map<std::uint64_t, std::shared_ptr<Exchange>> exchanges_;
    std::uint64_t lastId_ = 0;
};

}  // namespace lichenlanding::control_plane
