/// This process's replica of the register: owner of the parts that store, propose, learn and change members,
/// and the one place where messages come in.
///
/// Everything runs on the event loop's thread, but for the writes on the disk's thread (replica_storage.hpp).
/// The object outlives the event loop's run. The rules are consensus.hpp's and membership.hpp's; what holds,
/// and why, is in docs/design/control.md.
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
    /// What the host does with the replica.
    struct Callbacks {
        std::function<void(const std::string& key)> onValueLearned;  ///< another value of a key is in force
        std::function<void()> onMembershipChanged;  ///< other members, or contact has come or gone
    };

    ReplicaNode(transport::asio::io_context& io, const config::BootstrapSettings& boot, Callbacks callbacks,
                Opener opener);

    /// Opens a store in the settings' data_dir.
    static Opener onDisk(const config::BootstrapSettings& boot) { return ReplicaStorage::onDisk(boot); }

    /// Opens the disk and takes over what is on it; before run(). Throws StorageError where no store can be
    /// opened.
    void open();
    /// A message of a connected replica. False where it is none that replicas exchange; throws
    /// nlohmann::json::exception on one of another shape.
    bool handleMessage(PeerConnection& connection, const Json& message);
    /// A connection to the replica at this address is open; replies to this replica's requests come on it.
    void onPeerConnected(const std::string& address, std::shared_ptr<PeerConnection> connection);
    void onPeerDisconnected(const std::string& address);
    /// The fields of a hello that tell others of this replica; "members" are the addresses to link to.
    Json helloFields() const;
    void onHello(const Json& hello);  ///< another replica's

    /// See Proposer::update and Proposer::read. Within: nanoseconds.
    Task<std::optional<std::string>> update(std::string key, consensus::Change change, Nanos within,
                                            bool readFirst = true);
    Task<std::optional<std::string>> read(std::string key, Nanos within);

    const Known& known(const std::string& key) const { return learner_.known(key); }
    /// See QuorumContactMonitor::hasContact.
    bool hasQuorumContact() const { return contact_.hasContact(); }
    bool isFounded() const { return epochs_.isFounded(); }
    bool isVotingMember() const { return storage_.isVotingMember(); }  ///< it is part of majorities
    std::set<std::string> members() const { return epochs_.memberAddresses(); }
    const consensus::Epoch& epoch() const { return epochs_.open(); }  ///< number 0: founding, or none known
    bool isPeerReachable(const std::string& address) const { return contact_.isPeerReachable(address); }
    std::size_t connectedPeerCount() const { return peers_.connectedCount(); }
    Json describe() const;  ///< for the `status` command

    /// Keeps contact, members and known values up to date, without end.
    Task<> run();
    /// Before an end by SIGTERM: hands this replica's place on where there is a spare.
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
