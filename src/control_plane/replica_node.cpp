#include "control_plane/replica_node.hpp"

#include <algorithm>

namespace lichenlanding::control_plane {
namespace {

using namespace transport;

constexpr Nanos kCheckInterval = 50 * kMillisecond;
constexpr Nanos kPingInterval = 300 * kMillisecond;

std::vector<std::string> seedAddresses(const config::BootstrapSettings& boot) {
    std::vector<std::string> seeds;
    for (const auto& seed : boot.seeds) seeds.push_back(boot.peerAddress(hostOf(seed)));
    std::sort(seeds.begin(), seeds.end());
    seeds.erase(std::unique(seeds.begin(), seeds.end()), seeds.end());
    return seeds;
}

}  // namespace

ReplicaNode::ReplicaNode(asio::io_context& io, const config::BootstrapSettings& boot, Callbacks callbacks,
                         Opener opener)
    : callbacks_(std::move(callbacks)),
      address_(boot.peerAddress(boot.ip)),
      seeds_(seedAddresses(boot)),
      storage_(io, {address_, seeds_, boot.bootstrap}, std::move(opener), storageHooks()),
      learner_(storage_, memberAbsenceTimeout(boot),
               [this](const std::string& key) { callbacks_.onValueLearned(key); }),
      epochs_(storage_, [this] { onEpochOpened(); }),
      contact_(boot, peers_, storage_, epochs_, learner_, contactHooks()),
      broker_(storage_, peers_, address_),
      proposer_(io, broker_, peers_, epochs_, contact_, learner_, address_),
      catchUp_(io, proposer_, contact_, learner_),
      planner_(boot, peers_, storage_, epochs_, contact_, learner_),
      reconfiguration_(io, broker_, proposer_, peers_, storage_, epochs_, contact_, learner_, planner_,
                       address_) {}

ReplicaStorage::Hooks ReplicaNode::storageHooks() {
    ReplicaStorage::Hooks hooks;
    hooks.openEpoch = [this]() -> const consensus::Epoch& { return epochs_.openEpoch(); };
    hooks.statesToRetain = [this](const std::string& key) { return learner_.statesToRetain(key); };
    hooks.onStatesSynced = [this](const consensus::RegisterStates& states) { learner_.noteSynced(states); };
    hooks.onEpochStateSynced = [this] { epochs_.handleNotice(epochs_.notice()); };
    hooks.onIdentityCreated = [this] { contact_.pingAll(); };
    hooks.onIdentityReplaced = [this] {
        for (const auto& key : kKeys) learner_.retain(key);
    };
    return hooks;
}

QuorumContactMonitor::Hooks ReplicaNode::contactHooks() {
    return {[this] { callbacks_.onMembershipChanged(); }, [this] { catchUp_.startReadingAll(); }};
}

void ReplicaNode::open() {
    storage_.load();
    epochs_.restore();
    storage_.activate();
}

void ReplicaNode::onEpochOpened() {
    broker_.notifyAll();
    contact_.pingAll();  // contact needs answers from the new epoch's members
    callbacks_.onMembershipChanged();
}

Task<> ReplicaNode::run() {
    for (Nanos pingedAt = 0;;) {
        co_await sleep(kCheckInterval);
        if (!storage_.isOpen()) continue;
        if (now() - pingedAt >= kPingInterval) {
            pingedAt = now();
            contact_.pingAll();
            // Retries after a failed write.
            if (storage_.isConfirmed() && storage_.isIdle()) epochs_.install();
            reconfiguration_.reportUnmetTolerance();
        }
        storage_.confirmIdentity();
        contact_.check();
        reconfiguration_.check();
        if (contact_.hasContact()) catchUp_.check();
    }
}

Task<std::optional<std::string>> ReplicaNode::update(std::string key, consensus::Change change, Nanos timeout,
                                                     bool readFirst) {
    return proposer_.update(std::move(key), std::move(change), timeout, readFirst);
}

Task<std::optional<std::string>> ReplicaNode::read(std::string key, Nanos timeout) {
    return proposer_.read(std::move(key), timeout);
}

// ---- Messages. ----

void ReplicaNode::onPeerConnected(const std::string& address, std::shared_ptr<PeerConnection> connection) {
    peers_.connect(address, connection);
    broker_.onPeerConnected(address);
    contact_.ping(*connection);
}

void ReplicaNode::onPeerDisconnected(const std::string& address) { peers_.disconnect(address); }

Json ReplicaNode::helloFields() const {
    ReplicaHello hello;
    // Includes this replica: any known replica may become a member, and a reconfiguration must be able to
    // reach the new members.
    hello.members = epochs_.memberAddresses();
    hello.members.insert(address_);
    if (!isFounded()) hello.members.insert(seeds_.begin(), seeds_.end());
    hello.founded = isFounded();
    hello.hasQuorumContact = hasQuorumContact();
    hello.status = contact_.status();
    hello.notice = epochs_.notice();
    return encode(hello);
}

void ReplicaNode::onHello(const Json& hello) {
    contact_.noteStatus(decodeHelloStatus(hello));
    epochs_.handleNotice(decodeHelloNotice(hello));
}

bool ReplicaNode::handleMessage(PeerConnection& connection, const Json& message) {
    switch (typeOf(message)) {
        case PeerMessageType::request:
            handleRequest(connection, message);
            break;
        case PeerMessageType::reply:
            handleReply(connection, message);
            break;
        case PeerMessageType::learn: {
            const auto learn = decodeLearnMessage(message);
            learner_.noteInForce(learn.key, learn.proposalNumber);
            break;
        }
        case PeerMessageType::known:
            for (const auto& [key, proposalNumber] : decodeKnownMessage(message))
                learner_.noteInForce(key, proposalNumber);
            break;
        case PeerMessageType::ping:
            contact_.handlePing(decodePing(message), connection);
            break;
        case PeerMessageType::pong:
            contact_.handlePong(decodePong(message), connection);
            break;
        case PeerMessageType::epochNotice:
            epochs_.handleNotice(decodeEpochNotice(message));
            break;
        case PeerMessageType::other:
            return false;
    }
    return true;
}

void ReplicaNode::handleRequest(PeerConnection& connection, const Json& message) {
    if (!storage_.acceptsRequests()) return;  // the disk is stalled: no reply, as if the machine were down
    auto request = decodeRequestMessage(message);
    storage_.submit(std::move(request.request),
                    [to = connection.weak_from_this(), id = request.id,
                     stage = std::move(request.stage)](const consensus::Reply& reply) {
                        if (const auto open = to.lock()) open->send(encode(ReplyMessage{id, stage, reply}));
                    });
}

void ReplicaNode::handleReply(const PeerConnection& connection, const Json& message) {
    const auto reply = decodeReplyMessage(message);
    if (const auto* peer = peers_.find(connection.peer))
        storage_.noteWriteCount(peer->member.disk, reply.reply.writeCount);
    broker_.handleReply(reply, connection.peer);
}

// ---- Status. ----

Json ReplicaNode::describeMembers() const {
    Json members = Json::array();
    for (const auto& member : epoch().members) {
        Json entry{{"address", member.address}, {"disk", member.disk}, {"zone", member.zone}};
        const auto* peer = peers_.find(member.address);
        if (member.address != address_)
            entry["heard_ms_ago"] = !peer || peer->lastMessageAt == 0
                                        ? Json(nullptr)
                                        : Json((now() - peer->lastMessageAt) / kMillisecond);
        members.push_back(std::move(entry));
    }
    return members;
}

Json ReplicaNode::describe() const {
    Json spares = Json::array();
    for (const auto& spare : planner_.spares())
        spares.push_back({{"address", spare.member.address}, {"whole", spare.complete}});
    Json unmet = Json::array();
    if (isFounded())
        for (const auto& loss : planner_.unmetTolerance(epoch().members)) unmet.push_back(loss);
    return {{"epoch", epoch().number},   {"members", describeMembers()},
            {"stands_by", spares},       {"disk", storage_.acceptor().disk()},
            {"votes", isVotingMember()}, {"contact", hasQuorumContact()},
            {"not_borne", unmet},        {"changing", epochs_.reconfiguration().has_value()}};
}

}  // namespace lichenlanding::control_plane
