/// Sends the requests of proposals and reconfigurations to the members that they ask, this replica included,
/// and hands each reply to the one that waits for it.
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

/// One proposal or reconfiguration that is under way.
class Exchange {
  public:
    explicit Exchange(transport::asio::io_context& io) : progress(io) {}
    virtual ~Exchange() = default;
    virtual const consensus::Epoch& targetEpoch() const = 0;  ///< whose members are asked
    virtual std::vector<StagedRequest> requests() const = 0;  ///< of the present step
    /// `member`: the place of the sender in targetEpoch(). True where requests() has changed.
    virtual bool handleReply(std::uint32_t member, const RequestStage& stage,
                             const consensus::Reply& reply) = 0;

    transport::AsyncEvent progress;  ///< notified when requests() has changed, and when an epoch opens
};

class RequestBroker {
  public:
    RequestBroker(ReplicaStorage& storage, PeerDirectory& peers, std::string address);

    /// Registers an exchange under a new id. Nothing is sent yet.
    std::uint64_t begin(std::shared_ptr<Exchange> exchange);
    /// Replies that come later are dropped.
    void end(std::uint64_t id) { exchanges_.erase(id); }
    /// Sends the present requests to all members that they ask.
    void send(std::uint64_t id);
    /// Sends the present requests of every exchange to a peer that has just connected.
    void onPeerConnected(const std::string& address);
    void handleReply(const ReplyMessage& message, const std::string& from);
    /// Lets each exchange look at the open epoch anew.
    void notifyAll();

  private:
    void send(std::uint64_t id, const Exchange& exchange, const std::string* only);
    void sendToSelf(std::uint64_t id, const StagedRequest& staged);

    ReplicaStorage& storage_;
    PeerDirectory& peers_;
    const std::string address_;  // this replica's
    std::map<std::uint64_t, std::shared_ptr<Exchange>> exchanges_;
    std::uint64_t lastId_ = 0;
};

}  // namespace lichenlanding::control_plane
