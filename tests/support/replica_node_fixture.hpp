// Replicas over real connections in one thread, each on a scripted disk that hangs, is full, is lost
// or comes back as it once was. Nothing waits for time to pass: the loop runs until something is so.
#pragma once

#include <condition_variable>
#include <mutex>

#include "control_plane/replica_node.hpp"
#include "support/event_loop_fixture.hpp"

namespace replica_fixture {

using namespace lichenlanding;
using namespace lichenlanding::transport;
using control_plane::ReplicaNode;

struct Disk {
    std::mutex lock;
    std::condition_variable turned;
    bool hangs = false, full = false;
    int writes = 0, waiting = 0;
    std::map<std::string, consensus::RegisterState> cells;
    std::map<std::string, std::string> notes;

    void set(bool& what, bool value) {
        std::lock_guard hold(lock);
        what = value, turned.notify_all();
    }
    int held() {
        std::lock_guard hold(lock);
        return waiting;
    }
    int written() {
        std::lock_guard hold(lock);
        return writes;
    }
    // As it is now, and put back as it was.
    std::pair<std::map<std::string, consensus::RegisterState>, std::map<std::string, std::string>> image() {
        std::lock_guard hold(lock);
        return {cells, notes};
    }
    void restore(
        std::pair<std::map<std::string, consensus::RegisterState>, std::map<std::string, std::string>> old) {
        std::lock_guard hold(lock);
        cells = std::move(old.first), notes = std::move(old.second);
    }
};

struct ScriptedStore final : storage::ReplicaStore {
    explicit ScriptedStore(Disk& disk_) : disk(disk_) {}
    std::map<std::string, consensus::RegisterState> states() const override {
        std::lock_guard hold(disk.lock);
        return disk.cells;
    }
    std::string note(const std::string& name) const override {
        std::lock_guard hold(disk.lock);
        const auto at = disk.notes.find(name);
        return at == disk.notes.end() ? "" : at->second;
    }
    void write(const std::map<std::string, consensus::RegisterState>& cells,
               const std::map<std::string, std::string>& notes) override {
        std::unique_lock hold(disk.lock);
        ++disk.waiting;
        disk.turned.wait(hold, [&] { return !disk.hangs; });
        --disk.waiting;
        if (disk.full) throw storage::StorageError("scripted: no space left");
        ++disk.writes;
        for (const auto& [key, cell] : cells)
            if (cell == consensus::RegisterState{}) disk.cells.erase(key);
            else disk.cells[key] = cell;
        for (const auto& [name, note] : notes) disk.notes[name] = note;
    }
    Disk& disk;
};

// One life of one control node.
struct Member {
    Member(asio::io_context& io_, config::BootstrapSettings boot_, Disk& disk_)
        : io(io_), disk(disk_), boot(std::move(boot_)) {
        const ReplicaNode::Owner of{
            [this](const std::string& key) { told.push_back(replica->known(key).value); },
            [this] {
                for (const auto& address : replica->members()) dial(address);
            }};
        replica = std::make_unique<ReplicaNode>(io, boot, of, [this](bool anew) {
            if (anew) disk.restore({});
            return std::make_unique<ScriptedStore>(disk);
        });
        owner = std::make_shared<PeerConnection::Callbacks>();
        owner->makeHello = [this](PeerConnection& link) {
            open.push_back(link.weak_from_this());
            auto hello = replica->helloFields();
            hello.update({{"t", "hello"}, {"at", at()}});
            return hello;
        };
        owner->onMessage = [this](PeerConnection& link, const Json& message) {
            if (away == 0) return heard(link, message);
            spawn(io, "on its way",
                  [](Member& self, std::shared_ptr<PeerConnection> link_, Json message_) -> Task<> {
                      co_await sleep(self.away);
                      self.heard(*link_, message_);
                  }(*this, link.shared_from_this(), message));
        };
        owner->onClosed = [this](PeerConnection& link) {
            const auto dialer = dialers.find(link.peer);
            if (dialer != dialers.end() && !dialer->second->connection())
                replica->onPeerDisconnected(link.peer);
        };
        acceptor = std::make_unique<tcp::acceptor>(listen(io, at()));
        replica->open();
        spawn(io, "links", servePeerConnections(io, *acceptor, owner));
        spawn(io, "maintain", replica->run());
        for (const auto& seed : boot.seeds) dial(boot.peerAddress(hostOf(seed)));
    }
    void heard(PeerConnection& link, const Json& message) {
        if (cut || gone) return;  // a cut says nothing: links stay up, words are lost
        const bool hello = message.at("t") == "hello";
        if (hello) message.at("at").get_to(link.peer);
        if (overheard) overheard(link, message);
        if (!hello) return void(replica->handleMessage(link, message));
        const auto dialer = dialers.find(link.peer);
        if (dialer != dialers.end() && dialer->second->connection().get() == &link)
            replica->onPeerConnected(link.peer, link.shared_from_this());
        replica->onHello(message);
        for (const auto& address : message.at("members")) dial(address.get<std::string>());
    }
    std::string at() const { return boot.peerAddress(boot.ip); }
    void dial(const std::string& address) {
        if (gone || address == at() || dialers.contains(address)) return;
        dialers[address] = std::make_shared<Dialer>(io, address, owner);
        dialers[address]->start();
    }
    void kill() {
        gone = true;
        ErrorCode ignored;
        acceptor->close(ignored);
        for (auto& [_, dialer] : dialers) dialer->stop();
        for (auto& link : open)
            if (auto held = link.lock()) held->close();
    }

    asio::io_context& io;
    Disk& disk;
    config::BootstrapSettings boot;
    bool cut = false, gone = false;
    Nanos away = 0;  // how long each message to it is on its way
    std::function<void(const PeerConnection&, const Json&)>
        overheard;  // of each message, once its sender is known
    std::unique_ptr<ReplicaNode> replica;
    std::shared_ptr<PeerConnection::Callbacks> owner;
    std::map<std::string, std::shared_ptr<Dialer>> dialers;
    std::vector<std::weak_ptr<PeerConnection>> open;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::vector<std::string> told;
};

// So many machines, the first three of them seeds; some are started.
struct Cluster {
    explicit Cluster(int machines, int started = -1) : disks(static_cast<std::size_t>(machines)) {
        {
            tcp::acceptor free(listen(io, "127.0.0.1:0"));
            port = free.local_endpoint().port();
        }
        members.resize(static_cast<std::size_t>(machines));
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
        for (int seed = 0; seed < 3 && seed < static_cast<int>(members.size()); ++seed)
            boot.seeds.push_back("127.0.3." + std::to_string(seed + 1) + ":1");
        if (members[at]) ended.push_back(std::move(members[at]));
        members[at] = std::make_unique<Member>(io, std::move(boot), disks[at]);
    }
    template <typename Done>
    void until(const char* what, Done done) {
        // Given up after so long, with what each of them knows then.
        for (const Nanos last = now() + 20 * kSecond; !done();) {
            CPPUNIT_ASSERT_MESSAGE(std::string("nothing happens any more: ") + what,
                                   io.run_one_for(std::chrono::seconds(8)) > 0);
            if (now() < last) continue;
            std::string told = what;
            for (const auto& member : members)
                if (member && !member->gone)
                    told += "\n" + member->at() + " " + member->replica->describe().dump();
            CPPUNIT_FAIL(told);
        }
    }
    ReplicaNode& replica(int at) { return *members[at]->replica; }
    bool hasQuorumContact(std::vector<int> all) {
        return std::all_of(all.begin(), all.end(), [&](int at) { return replica(at).hasQuorumContact(); });
    }
    // What a write of `value` at this member ends with; "-": no majority in time.
    std::string write(int at, const std::string& value, Nanos within = 5 * kSecond) {
        const consensus::Change put = [value](const std::string&) { return value; };
        return change(at, put, within);
    }
    std::string read(int at) {
        return change(
            at, [](const std::string& held) { return held; }, kSecond);
    }
    std::string change(int at, const consensus::Change& change, Nanos within) {
        const auto result = event_loop_fixture::result(
            io, replica(at).update(control_plane::kConfigurationKey, change, within),
            [&](auto done) { until("a change ends", done); });
        return result.value_or("-");
    }
    // The registers that there are: each set of members that some control node holds for the newest.
    std::set<std::string> registers() {
        std::set<std::string> all;
        for (const auto& member : members) {
            if (!member || member->gone) continue;
            std::string text;
            for (const auto& address : member->replica->members()) text += address + " ";
            all.insert(text);
        }
        return all;
    }

    asio::io_context io{1};
    int port = 0;
    std::function<std::string(int)> zone;
    std::function<void(config::BootstrapSettings&)> tolerance;
    std::deque<Disk> disks;
    std::vector<std::unique_ptr<Member>> members, ended;  // ended: lives that are over, kept for their tasks
};

}  // namespace replica_fixture
