/// This process's replica of the register. Owns the components for storage, proposals, learning and
/// membership, and dispatches incoming messages to them.
///
/// Runs on the event loop's thread, except for disk writes (see replica_storage.hpp). The object must outlive
/// the run of the event loop. consensus.hpp and membership.hpp define the rules; docs/design/control.md
/// explains the guarantees.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "config/bootstrap_settings.hpp"
#include "control_plane/catch_up.hpp"
#include "control_plane/epoch_tracker.hpp"
#include "control_plane/learner.hpp"
#include "control_plane/membership_planner.hpp"
#include "control_plane/peer_directory.hpp"
#include "control_plane/proposer.hpp"
#include "control_plane/quorum_contact_monitor.hpp"
#include "control_plane/reconfiguration_driver.hpp"
#include "control_plane/register_keys.hpp"
#include "control_plane/replica_storage.hpp"
#include "control_plane/request_broker.hpp"
#include "transport/peer_connection.hpp"

namespace lichenlanding::control_plane {

using transport::PeerConnection;

class ReplicaNode {
  public:
    using Known = KnownValue;
    using Opener = ReplicaStorage::Opener;
    /// Notifications to the host.
    struct Callbacks {
        std::function<void(const std::string& key)> onValueLearned;  ///< the known value of a key has changed
        std::function<void()> onMembershipChanged;  ///< the members or the quorum contact changed
    };

    ReplicaNode(transport::asio::io_context& io, const config::BootstrapSettings& boot, Callbacks callbacks,
                Opener opener);

    /// Opens a store in the setting `data_dir`.
    static Opener onDisk(const config::BootstrapSettings& boot) { return ReplicaStorage::onDisk(boot); }

    /// Opens the store and restores the state from it. Call before run(). Throws StorageError or another
    /// std::exception if the store cannot be opened; may be called again then.
    void open();
    /// Handles a message from a connected replica. Returns false if it is not a message between replicas.
    /// Throws nlohmann::json::exception if a field is missing or has the wrong type.
    bool handleMessage(PeerConnection& connection, const Json& message);
    /// Called when a connection to the replica at this address opens. Requests and their replies use it.
    void onPeerConnected(const std::string& address, std::shared_ptr<PeerConnection> connection);
    void onPeerDisconnected(const std::string& address);
    /// The replica's fields of a hello; "members" are the addresses to connect to.
    Json helloFields() const;
    void onHello(const Json& hello);  ///< from another replica

    /// See Proposer::update and Proposer::read. `timeout` is in nanoseconds.
    Task<std::optional<std::string>> update(std::string key, consensus::Change change, Nanos timeout,
                                            bool readFirst = true);
    Task<std::optional<std::string>> read(std::string key, Nanos timeout);

    const Known& known(const std::string& key) const { return learner_.known(key); }
    /// See QuorumContactMonitor::hasContact.
    bool hasQuorumContact() const { return contact_.hasContact(); }
    bool isFounded() const { return epochs_.isFounded(); }
    bool isVotingMember() const { return storage_.isVotingMember(); }  ///< it counts towards majorities
    std::set<std::string> members() const { return epochs_.memberAddresses(); }
    /// Its number is 0 during founding, and while no epoch is known.
    const consensus::Epoch& epoch() const { return epochs_.openEpoch(); }
    bool isPeerReachable(const std::string& address) const { return contact_.isPeerReachable(address); }
    std::size_t connectedPeerCount() const { return peers_.connectedCount(); }
    Json describe() const;  ///< for the admin call `status`

    /// Keeps contact, members and known values up to date. Never returns.
    Task<> run();
    /// Called on SIGTERM: replaces this replica by a spare, if there is one, before the process exits.
    Task<> stepDown() { return reconfiguration_.stepDown(); }

  private:
    ReplicaStorage::Hooks storageHooks();
    QuorumContactMonitor::Hooks contactHooks();
    void onEpochOpened();
    void handleRequest(PeerConnection& connection, const Json& message);
    void handleReply(const PeerConnection& connection, const Json& message);
    Json describeMembers() const;

    Callbacks callbacks_;
    const std::string address_;
    const std::vector<std::string> seeds_;  // internal addresses, sorted
    PeerDirectory peers_;
    ReplicaStorage storage_;
    Learner learner_;
    EpochTracker epochs_;
    QuorumContactMonitor contact_;
    RequestBroker broker_;
    Proposer proposer_;
    CatchUp catchUp_;
    MembershipPlanner planner_;
    ReconfigurationDriver reconfiguration_;
};

}  // namespace lichenlanding::control_plane
