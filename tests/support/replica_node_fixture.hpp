// Runs replicas in one thread over real connections. Each has a simulated disk that can hang, be full, be
// lost or be restored from an earlier snapshot. Tests run the event loop until a condition holds.
#pragma once

#include <condition_variable>
#include <mutex>

#include "control_plane/replica_node.hpp"
#include "support/event_loop_fixture.hpp"

namespace replica_fixture {

using namespace lichenlanding;
using namespace lichenlanding::transport;
using control_plane::ReplicaNode;

/// The storage of one machine. Outlives the control nodes that run on it; shared with their disk threads.
struct Disk {
    std::mutex lock;
    std::condition_variable changed;
    bool hangs = false, full = false;
    std::chrono::milliseconds writeTime{0};  // of each write
    std::string refusedKey;                  // writes of it fail; "": none
    int writes = 0, pending = 0, refused = 0;
    std::map<std::string, consensus::RegisterState> registerStates;
    std::map<std::string, std::string> notes;

    void set(bool& flag, bool value) {
        std::lock_guard guard(lock);
        flag = value, changed.notify_all();
    }
    void refuse(const std::string& key) {
        std::lock_guard guard(lock);
        refusedKey = key;
    }
    int refusedWrites() {
        std::lock_guard guard(lock);
        return refused;
    }
    int pendingWrites() {
        std::lock_guard guard(lock);
        return pending;
    }
    int writeCount() {
        std::lock_guard guard(lock);
        return writes;
    }
    // The contents as they are now; restore() puts them back.
    std::pair<std::map<std::string, consensus::RegisterState>, std::map<std::string, std::string>>
    snapshot() {
        std::lock_guard guard(lock);
        return {registerStates, notes};
    }
    void restore(
        std::pair<std::map<std::string, consensus::RegisterState>, std::map<std::string, std::string>>
            saved) {
        std::lock_guard guard(lock);
        registerStates = std::move(saved.first), notes = std::move(saved.second);
    }
};

struct SimulatedStore final : storage::ReplicaStore {
    explicit SimulatedStore(Disk& disk_) : disk(disk_) {}
    std::map<std::string, consensus::RegisterState> states() const override {
        std::lock_guard guard(disk.lock);
        return disk.registerStates;
    }
    std::string note(const std::string& name) const override {
        std::lock_guard guard(disk.lock);
        const auto at = disk.notes.find(name);
        return at == disk.notes.end() ? "" : at->second;
    }
    void write(const std::map<std::string, consensus::RegisterState>& states,
               const std::map<std::string, std::string>& notes) override {
        std::unique_lock guard(disk.lock);
        ++disk.pending;
        disk.changed.wait(guard, [&] { return !disk.hangs; });
        disk.changed.wait_for(guard, disk.writeTime, [] { return false; });
        --disk.pending;
        if (states.contains(disk.refusedKey)) {
            ++disk.refused;
            throw storage::StorageError("simulated: refused");
        }
        if (disk.full) throw storage::StorageError("simulated: no space left");
        ++disk.writes;
        for (const auto& [key, state] : states)
            if (state == consensus::RegisterState{}) disk.registerStates.erase(key);
            else disk.registerStates[key] = state;
        for (const auto& [name, note] : notes) disk.notes[name] = note;
    }
    Disk& disk;
};

/// One run of a control node, from its start to kill().
struct ControlNode {
    ControlNode(asio::io_context& io_, config::BootstrapSettings boot_, Disk& disk_)
        : io(io_), disk(disk_), boot(std::move(boot_)) {
        const ReplicaNode::Callbacks callbacks{
            [this](const std::string& key) { learnedValues.push_back(replica->known(key).value); },
            [this] {
                for (const auto& address : replica->members()) dial(address);
            }};
        replica = std::make_unique<ReplicaNode>(io, boot, callbacks, [this](bool replace) {
            if (replace) disk.restore({});
            return std::make_unique<SimulatedStore>(disk);
        });
        connectionCallbacks = std::make_shared<PeerConnection::Callbacks>();
        connectionCallbacks->makeHello = [this](PeerConnection& connection) {
            connections.push_back(connection.weak_from_this());
            auto hello = replica->helloFields();
            hello.update({{"t", "hello"}, {"at", ownAddress()}});
            return hello;
        };
        connectionCallbacks->onMessage = [this](PeerConnection& connection, const Json& message) {
            if (messageDelay == 0) return deliver(connection, message);
            spawn(
                io, "delayed message",
                [](ControlNode& self, std::shared_ptr<PeerConnection> connection_, Json message_) -> Task<> {
                    co_await sleep(self.messageDelay);
                    self.deliver(*connection_, message_);
                }(*this, connection.shared_from_this(), message));
        };
        connectionCallbacks->onClosed = [this](PeerConnection& connection) {
            const auto dialer = dialers.find(connection.peer);
            if (dialer != dialers.end() && !dialer->second->connection())
                replica->onPeerDisconnected(connection.peer);
        };
        acceptor = std::make_unique<tcp::acceptor>(listen(io, ownAddress()));
        replica->open();
        spawn(io, "peer connections", servePeerConnections(io, *acceptor, connectionCallbacks));
        spawn(io, "maintain", replica->run());
        for (const auto& seed : boot.seeds) dial(boot.peerAddress(hostOf(seed)));
    }
    void deliver(PeerConnection& connection, const Json& message) {
        if (partitioned || stopped) return;  // in a partition connections stay open but messages are lost
        const bool hello = message.at("t") == "hello";
        if (hello) message.at("at").get_to(connection.peer);
        if (onDelivered) onDelivered(connection, message);
        if (!hello) return void(replica->handleMessage(connection, message));
        const auto dialer = dialers.find(connection.peer);
        if (dialer != dialers.end() && dialer->second->connection().get() == &connection)
            replica->onPeerConnected(connection.peer, connection.shared_from_this());
        replica->onHello(message);
        for (const auto& address : message.at("members")) dial(address.get<std::string>());
    }
    std::string ownAddress() const { return boot.peerAddress(boot.ip); }
    void dial(const std::string& address) {
        if (stopped || address == ownAddress() || dialers.contains(address)) return;
        dialers[address] = std::make_shared<Dialer>(io, address, connectionCallbacks);
        dialers[address]->start();
    }
    void kill() {
        stopped = true;
        ErrorCode ignored;
        acceptor->close(ignored);
        for (auto& [_, dialer] : dialers) dialer->stop();
        for (auto& connection : connections)
            if (auto open = connection.lock()) open->close();
    }

    asio::io_context& io;
    Disk& disk;
    config::BootstrapSettings boot;
    bool partitioned = false, stopped = false;
    Nanos messageDelay = 0;  // of each message that it receives
    std::function<void(const PeerConnection&, const Json&)>
        onDelivered;  // called for each message, once its sender is known
    std::unique_ptr<ReplicaNode> replica;
    std::shared_ptr<PeerConnection::Callbacks> connectionCallbacks;
    std::map<std::string, std::shared_ptr<Dialer>> dialers;
    std::vector<std::weak_ptr<PeerConnection>> connections;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::vector<std::string> learnedValues;  // of all keys, in the order of learning
};

/// A number of machines. The first three are seeds; `started` of them run from the beginning.
struct Cluster {
    explicit Cluster(int machineCount, int started = -1) : disks(static_cast<std::size_t>(machineCount)) {
        {
            tcp::acceptor free(listen(io, "127.0.0.1:0"));
            port = free.local_endpoint().port();
        }
        nodes.resize(static_cast<std::size_t>(machineCount));
        zone = [](int at) { return "z" + std::to_string(at % 3); };
        tolerance = [](config::BootstrapSettings& boot) { boot.tolerableMachineLosses = 1; };
        for (int at = 0; at < started; ++at) launch(at, true);
    }
    ~Cluster() {
        for (auto& disk : disks) disk.set(disk.hangs, false);
        io.stop();
    }
    void launch(int at, bool bootstrap) {
        config::BootstrapSettings boot;
        boot.ip = "127.0.3." + std::to_string(at + 1), boot.name = boot.ip, boot.internalPorts = {port};
        boot.zone = zone(at), boot.region = "r", boot.bootstrap = bootstrap, boot.quorumMember = true;
        boot.controlReplaceAfter = 700 * kMillisecond;
        tolerance(boot);
        for (int seed = 0; seed < 3 && seed < static_cast<int>(nodes.size()); ++seed)
            boot.seeds.push_back("127.0.3." + std::to_string(seed + 1) + ":1");
        if (nodes[at]) stoppedNodes.push_back(std::move(nodes[at]));
        nodes[at] = std::make_unique<ControlNode>(io, std::move(boot), disks[at]);
    }
    template <typename Done>
    void until(const char* what, Done done) {
        // Fails at the deadline with the status of each running node.
        for (const Nanos deadline = now() + 20 * kSecond; !done();) {
            CPPUNIT_ASSERT_MESSAGE(std::string("the event loop is idle, but not: ") + what,
                                   io.run_one_for(std::chrono::seconds(8)) > 0);
            if (now() < deadline) continue;
            std::string message = what;
            for (const auto& node : nodes)
                if (node && !node->stopped)
                    message += "\n" + node->ownAddress() + " " + node->replica->describe().dump();
            CPPUNIT_FAIL(message);
        }
    }
    ReplicaNode& replica(int at) { return *nodes[at]->replica; }
    bool hasQuorumContact(std::vector<int> all) {
        return std::all_of(all.begin(), all.end(), [&](int at) { return replica(at).hasQuorumContact(); });
    }
    // Writes `value` through this node. Returns the value in force, or "-" without a majority in time.
    std::string write(int at, const std::string& value, Nanos timeout = 5 * kSecond) {
        const consensus::Change put = [value](const std::string&) { return value; };
        return change(at, put, timeout);
    }
    std::string read(int at) {
        return change(
            at, [](const std::string& value) { return value; }, kSecond);
    }
    std::string change(int at, const consensus::Change& change, Nanos timeout) {
        const auto result = event_loop_fixture::runTask(
            io, replica(at).update(control_plane::kConfigurationKey, change, timeout),
            [&](auto done) { until("a change ends", done); });
        return result.value_or("-");
    }
    // The sets of members that the running nodes know as the newest; more than one means a split register.
    std::set<std::string> memberSets() {
        std::set<std::string> all;
        for (const auto& node : nodes) {
            if (!node || node->stopped) continue;
            std::string text;
            for (const auto& address : node->replica->members()) text += address + " ";
            all.insert(text);
        }
        return all;
    }

    asio::io_context io{1};
    int port = 0;
    std::function<std::string(int)> zone;
    std::function<void(config::BootstrapSettings&)> tolerance;
    std::deque<Disk> disks;
    // `nodes` is by machine. `stoppedNodes` are earlier runs, kept because their tasks may still run.
    std::vector<std::unique_ptr<ControlNode>> nodes, stoppedNodes;
};

}  // namespace replica_fixture
