// What an earlier version left on disk and sent over links (tests/fixtures/previous_version) is read by this
// one, and written back equal. Names in the code may change; these bytes may not.
#include <lmdb.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <csignal>
#include <filesystem>

#include "admin/configuration_record.hpp"
#include "admin/rollout_requests.hpp"
#include "config/configuration.hpp"
#include "hashing/rendezvous.hpp"
#include "leases/leases.hpp"
#include "membership/codec.hpp"
#include "messages/codec.hpp"
#include "messages/peer_messages.hpp"
#include "subscription/configuration_cache.hpp"
#include "support/replica_node_fixture.hpp"
#include "transport/chunks.hpp"
#include "transport/compression.hpp"

using namespace lichenlanding;
using namespace lichenlanding::transport;
using subscription::ConfigurationCache, storage::LmdbReplicaStore, control_plane::ReplicaNode;
namespace http = boost::beast::http;

namespace {

const std::string kFolder = std::string(FIXTURES) + "/previous_version";
const std::vector<std::string> kMemberStores{"c1", "c3", "c5"};
constexpr int kPort = 7720;  // of the addresses in the fixtures

std::string bytesOf(const std::string& name) {
    std::ifstream file(kFolder + "/" + name, std::ios::binary);
    CPPUNIT_ASSERT_MESSAGE(name, file.good());
    std::stringstream bytes;
    bytes << file.rdbuf();
    return bytes.str();
}

std::string unhex(const std::string& digits) {
    std::string bytes;
    for (std::size_t at = 0; at + 1 < digits.size(); at += 2)
        bytes += static_cast<char>(std::stoi(digits.substr(at, 2), nullptr, 16));
    return bytes;
}

// Each message by its name in messages.txt: the bytes as they travel.
const std::map<std::string, std::string>& frames() {
    static const auto kAll = [] {
        std::map<std::string, std::string> read;
        std::istringstream lines(bytesOf("messages.txt"));
        for (std::string name, digits; lines >> name >> digits;) read[name] = unhex(digits);
        return read;
    }();
    return kAll;
}

Json decoded(const std::string& frame) { return Json::from_cbor(decompress(frame)); }
Json message(const std::string& name) { return decoded(frames().at(name)); }

// The places of all fields, such as "reply.cell" or "set[].i"; not the keys of maps by name or number.
void addFields(const Json& value, const std::string& place, std::set<std::string>& all) {
    static const std::set<std::string> kMaps{"held", "holds", "ballots", "cells", "foyers", "totals"};
    if (value.is_array())
        for (const auto& entry : value) addFields(entry, place + "[]", all);
    if (!value.is_object()) return;
    for (const auto& [name, field] : value.items()) {
        all.insert(place + "." + name);
        if (!kMaps.contains(name)) addFields(field, place + "." + name, all);
    }
}
std::set<std::string> fields(const Json& value) {
    std::set<std::string> all;
    addFields(value, "", all);
    return all;
}

std::string kindOf(const Json& told) {
    return told.at("t").get<std::string>() +
           (told.contains("kind") ? told.at("kind").get<std::string>() : "");
}

// A message of this version has no field that the earlier one's had not, and all that each of those had.
void sameFields(const Json& told) {
    std::set<std::string> allowed;
    std::set<std::string> needed;
    bool any = false;
    for (const auto& [name, frame] : frames()) {
        const auto earlier = decoded(frame);
        if (earlier.is_null() || kindOf(earlier) != kindOf(told)) continue;
        const auto these = fields(earlier);
        allowed.insert(these.begin(), these.end());
        if (any) std::erase_if(needed, [&](const auto& field) { return !these.contains(field); });
        else needed = these;
        any = true;
    }
    CPPUNIT_ASSERT_MESSAGE("no earlier message is like " + told.dump(), any);
    const auto these = fields(told);
    for (const auto& field : these)
        CPPUNIT_ASSERT_MESSAGE(field + " is new in " + told.dump(), allowed.contains(field));
    for (const auto& field : needed)
        CPPUNIT_ASSERT_MESSAGE(field + " is missing in " + told.dump(), these.contains(field));
}

std::uint32_t numberOf(const std::string& address) {
    return static_cast<std::uint32_t>(hashing::hash("member", address));
}

Json proposalNumbers(Json all) {
    for (const auto& [_, proposalNumber] : all.items())
        proposalNumber = messages::encode(messages::decodeProposalNumber(proposalNumber));
    return all;
}
Json epoch(const Json& told) { return membership::encode(membership::decodeEpoch(told)); }

// The message with each part that has a reader and a writer read and written.
Json rewritten(Json told) {
    const auto kind = told.at("t").get<std::string>();
    if (kind == "standing")
        for (const auto* name : {"epoch", "from", "to"})
            if (told.contains(name)) told[name] = epoch(told[name]);
    if (kind == "hello" && told.contains("standing")) told["standing"] = rewritten(told["standing"]);
    if (told.contains("about") && told["about"].is_object())
        told["about"]["held"] = proposalNumbers(told["about"]["held"]);
    if (kind == "pong") told["held"] = proposalNumbers(told["held"]);
    if (kind == "known") told["ballots"] = proposalNumbers(told["ballots"]);
    if (kind == "learn") told["ballot"] = messages::encode(messages::decodeProposalNumber(told["ballot"]));
    if (kind == "reg") told["request"] = membership::encode(membership::decodeRequest(told["request"]));
    if (kind == "reply") told["reply"] = membership::encode(membership::decodeReply(told["reply"]));
    if (kind == "counts") told["totals"] = messages::encode(messages::decodeTotals(told["totals"]));
    if (kind == "configuration")
        told["squeezed"] = messages::encodeBytes(messages::decodeBytes(told["squeezed"]));
    if (kind == "rollouts") told["list"] = messages::encode(messages::decodeRollouts(told["list"]));
    if (kind == "pods")
        for (auto& pod : told["set"]) pod = messages::encode(messages::decodeEndpoint(pod));
    return told;
}

Json sure(Json told) {
    told["sure"] = true;
    return told;
}

// The message read into its struct and written again, with the fields that any message may carry put back.
// Nothing where the message has no struct; the hello of a control node has more fields than its struct.
std::optional<Json> throughStruct(const Json& told) {
    const auto& type = messages::typeOf(told);
    Json again;
    if (type == messages::kTypeHello) again = messages::encode(messages::decodeHello(told));
    else if (type == messages::kTypeRoster) again = messages::encode(messages::decodeRoster(told));
    else if (type == messages::kTypeDigest) again = messages::encode(messages::decodeDigest(told));
    else if (type == messages::kTypeFetch) again = messages::encode(messages::decodeFetchRequest(told));
    else if (type == messages::kTypeConfiguration)
        again = messages::encode(messages::decodeConfigurationUpdate(told));
    else if (type == messages::kTypeRollouts) again = messages::encode(messages::decodeRolloutsUpdate(told));
    else if (type == messages::kTypeEndpoints)
        again = messages::encode(messages::decodeEndpointsUpdate(told));
    else if (type == messages::kTypeAcknowledgement)
        again = messages::encode(messages::decodeAcknowledgement(told));
    else if (type == messages::kTypePeerLost) again = messages::encode(messages::decodePeerLost(told));
    else if (type == messages::kTypeCounts) again = messages::encode(messages::decodeCountsReport(told));
    else if (type == messages::kTypeVote) again = messages::encode(messages::decodeVote(told));
    else return std::nullopt;
    for (const auto* field : {messages::kFieldConfirmed, messages::kFieldClock})
        if (told.contains(field)) again[field] = told[field];
    if (type == messages::kTypeHello && told.at("kind") == messages::kWireKindControlNode)
        for (const auto* field : {"formed", "about", "standing"}) again[field] = told.at(field);
    return std::make_optional<Json>(std::move(again));
}

// Every record of a store as it lies there, checksums and all.
std::map<std::string, std::string> records(const std::string& store) {
    std::map<std::string, std::string> all;
    MDB_env* env = nullptr;
    MDB_txn* txn = nullptr;
    MDB_dbi dbi = 0;
    MDB_cursor* cursor = nullptr;
    mdb_env_create(&env);
    CPPUNIT_ASSERT_EQUAL(0, mdb_env_open(env, store.c_str(), MDB_NOLOCK | MDB_RDONLY, 0644));
    CPPUNIT_ASSERT_EQUAL(0, mdb_txn_begin(env, nullptr, MDB_RDONLY, &txn));
    CPPUNIT_ASSERT_EQUAL(0, mdb_dbi_open(txn, nullptr, 0, &dbi));
    CPPUNIT_ASSERT_EQUAL(0, mdb_cursor_open(txn, dbi, &cursor));
    MDB_val key;
    MDB_val value;
    while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == 0)
        all[{static_cast<const char*>(key.mv_data), key.mv_size}] = {static_cast<const char*>(value.mv_data),
                                                                     value.mv_size};
    mdb_cursor_close(cursor);
    mdb_txn_abort(txn);
    mdb_env_close(env);
    return all;
}

std::vector<messages::Rollout> storedRollouts() {
    std::vector<messages::Rollout> all(3);
    all[0] = {"s", "v2", "completed", 2, 4, 22'000, 16'235, 0};
    all[1] = {"s", "v3", "rolled_back", 0, 6, 2000, 1360, 0};
    all[2] = {"t", "v2", "in_progress", 0, 7, 3'600'000, 5428, 5428};
    return all;
}

void isConfiguration(const std::string& value, std::uint32_t version,
                     const std::vector<std::uint32_t>& history) {
    const auto held = admin::decodeRecord(value);
    CPPUNIT_ASSERT_EQUAL(version, held.version);
    const auto body = admin::body(value);
    CPPUNIT_ASSERT_EQUAL(version, config::Configuration::parse(body).version);
    std::vector<std::uint32_t> numbers;
    for (const auto& one : held.history) numbers.push_back(one.number);
    CPPUNIT_ASSERT(history == numbers);
    CPPUNIT_ASSERT(admin::checkDuplicate(value, admin::makeRequest(version, body)) ==
                   admin::DuplicateCheck::known);
    CPPUNIT_ASSERT(admin::checkDuplicate(value, admin::makeRequest(version, body + " ")) ==
                   admin::DuplicateCheck::conflict);
}
const std::vector<std::uint32_t> kStoredHistory{0x10, 0x11, 0x0f, 0x12, 0x13, 0x14};

const std::vector<consensus::Member> kStoredMembers{{"127.0.1.1:7720", "91873c6fb9010468", "z1", "r1"},
                                                    {"127.0.1.3:7720", "142e5df8ad25de68", "z3", "r1"},
                                                    {"127.0.1.5:7720", "711b7c9a58769ede", "z2", "r1"}};

struct Program {
    Program(std::string command, const Json& settings, const std::string& file) {
        std::ofstream(file) << settings;
        std::vector<std::string> words{GATEWAY, std::move(command)};
        auto variable = "LICHENLANDING_SETTINGS=" + file;
        char* arguments[] = {words[0].data(), words[1].data(), nullptr};
        char* variables[] = {variable.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 2, (file + ".log").c_str(), O_WRONLY | O_CREAT, 0644);
        CPPUNIT_ASSERT_EQUAL(0, posix_spawn(&id, GATEWAY, &actions, nullptr, arguments, variables));
        posix_spawn_file_actions_destroy(&actions);
    }
    ~Program() {
        kill(id, SIGKILL);
        waitpid(id, nullptr, 0);
    }
    pid_t id = -1;
};

// One end of links, played by the test: greets as it is told and keeps what it hears.
struct Played {
    explicit Played(Json greeting_) : greeting(std::move(greeting_)) {
        owner->makeHello = [this](PeerConnection&) { return greeting; };
        owner->onMessage = [this](PeerConnection& link, const Json& told) {
            last = link.shared_from_this(), heard.push_back(told);
            try {
                sameFields(told);
            } catch (const CppUnit::Exception& other) {  // of no use to the link: told by the next find()
                if (wrong.empty()) wrong = other.what();
            }
            if (told.at("t") == "hello") onHello = last;
        };
        owner->onClosed = [](PeerConnection&) {};
    }
    const Json* find(const std::string& kind, const std::function<bool(const Json&)>& fits = {}) const {
        CPPUNIT_ASSERT_MESSAGE(wrong, wrong.empty());
        for (const auto& told : heard)
            if (told.at("t") == kind && (!fits || fits(told))) return &told;
        return nullptr;
    }
    void say(const std::string& name) {
        onHello->send(std::make_shared<const std::string>(frames().at(name)));
    }

    Json greeting;
    std::shared_ptr<PeerConnection::Callbacks> owner = std::make_shared<PeerConnection::Callbacks>();
    std::shared_ptr<PeerConnection> last, onHello;
    std::deque<Json> heard;
    std::string wrong;
};

}  // namespace

class PreviousVersionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PreviousVersionTest);
    CPPUNIT_TEST(stores);
    CPPUNIT_TEST(majority);
    CPPUNIT_TEST(replicas);
    CPPUNIT_TEST(storeBeforeEpochs);
    CPPUNIT_TEST(values);
    CPPUNIT_TEST(messages);
    CPPUNIT_TEST(typedMessagesKeepTheirBytes);
    CPPUNIT_TEST(pieces);
    CPPUNIT_TEST(news);
    CPPUNIT_TEST(listChanges);
    CPPUNIT_TEST(keepersTalk);
    CPPUNIT_TEST(controlNodeTalks);
    CPPUNIT_TEST(proxyTalks);
    CPPUNIT_TEST_SUITE_END();

    std::string scratch_;

    // A copy of a store, as a control node's data_dir would have it.
    std::string copied(const std::string& store) const {
        const auto to = scratch_ + "/" + store + "/promptbook";
        std::filesystem::create_directories(to);
        std::filesystem::copy_file(kFolder + "/" + store + "/data.mdb", to + "/data.mdb",
                                   std::filesystem::copy_options::overwrite_existing);
        return to;
    }
    config::BootstrapSettings boot(const std::string& ip, const std::string& store) const {
        config::BootstrapSettings told;
        told.ip = told.name = ip, told.internalPorts = {kPort}, told.quorumMember = true;
        told.seeds = {"127.0.1.1:1", "127.0.1.2:1", "127.0.1.3:1"};
        told.dataDir = scratch_ + "/" + store, told.diskMegabytes = 16;
        return told;
    }
    static int freePort() {
        asio::io_context io;
        return listen(io, "127.0.0.1:0").local_endpoint().port();
    }
    static std::string at(const std::string& ip, int where) { return ip + ":" + std::to_string(where); }
    Json settings(const std::string& name, const std::string& ip, const std::string& seed, int internal,
                  int from) const {
        return {{"node_name", name},
                {"ip_address", ip},
                {"zone", "z"},
                {"internal_ports", {internal}},
                {"seed_nodes", {at(seed, from)}},
                {"bootstrap", true},
                {"quorum_member", true},
                {"heartbeat", "300ms"},
                {"data_dir", scratch_},
                {"limits", {{"disk_mb", 64}}},
                {"fault_tolerance", {{"machines", 0}}},
                {"cloud_api", {{"address", "127.0.0.1:1"}, {"rate_per_s", 1.0}}},
                {"listen_addresses",
                 {{"front_http", at(ip, from + 1)},
                  {"readiness", at(ip, from + 2)},
                  {"control_plane", at(ip, from)}}}};
    }
    template <typename Done>
    static void until(asio::io_context& io, const char* what, Done done) {
        for (const Nanos last = now() + 20 * kSecond; !done();) {
            io.run_one_for(std::chrono::milliseconds(50));
            CPPUNIT_ASSERT_MESSAGE(std::string("never: ") + what, now() < last);
        }
    }

  public:
    void setUp() override {
        auto made = (std::filesystem::temp_directory_path() / "previous-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(made.data()));
        scratch_ = made;
    }
    void tearDown() override { std::filesystem::remove_all(scratch_); }

    // Each store holds what it held, and a new store that is told the same has the same records, byte for
    // byte.
    void stores() {
        for (const std::string store : {"promptbook/c1", "promptbook/c2", "promptbook/c3", "promptbook/c5",
                                        "promptbook_before_epochs"}) {
            const bool before = store == "promptbook_before_epochs";
            const auto opened = copied(store);
            const auto earlier = records(opened);
            LmdbReplicaStore replicaStore(opened, 8 << 20);
            const auto cells = replicaStore.states();
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cells.size());
            std::set<std::string> names;
            std::set<std::string> expected{"disk", "standing", "writes", "witness"};
            if (before) expected = {"members"};
            std::map<std::string, std::string> notes;
            for (const auto& [key, _] : earlier)
                if (key[0] == 'n')
                    names.insert(key.substr(1)), notes[key.substr(1)] = replicaStore.note(key.substr(1));
            CPPUNIT_ASSERT(expected == names);
            CPPUNIT_ASSERT_EQUAL(
                std::string("diskstandingmembers"),
                storage::kDiskIdentityNote + storage::kEpochStateNote + storage::kLegacyMembersNote);
            isConfiguration(cells.at(control_plane::kConfigurationKey).value, before ? 0x11 : 0x14,
                            before ? std::vector<std::uint32_t>{0x10, 0x11, 0x0f} : kStoredHistory);
            const auto rollouts = cells.at(control_plane::kRolloutsKey).value;
            CPPUNIT_ASSERT_EQUAL(rollouts, messages::encode(messages::decodeRollouts(rollouts)));
            if (!before) CPPUNIT_ASSERT_EQUAL(messages::encode(storedRollouts()), rollouts);
            const auto duties = leases::decodeLeases(cells.at(control_plane::kLeasesKey).value);
            CPPUNIT_ASSERT_EQUAL(before ? "127.0.1.2:7720" : std::string("127.0.1.3:7720"),
                                 duties.at("list").holder);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{before ? 1U : 3U}, duties.at("list").term);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{before ? 1U : 2U}, duties.at("rollouts").term);
            if (!before) {
                const auto standing = membership::decodeEpochState(Json::parse(notes.at("standing")));
                CPPUNIT_ASSERT(standing.open && !standing.successor && !standing.predecessor);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, standing.epoch.number);
                CPPUNIT_ASSERT(kStoredMembers == standing.epoch.members);
                CPPUNIT_ASSERT_EQUAL(notes.at("standing"), membership::encode(standing).dump());
                const auto seen =
                    Json::parse(notes.at("witness")).get<std::map<std::string, std::uint64_t>>();
                CPPUNIT_ASSERT(seen.size() >= 4);
                CPPUNIT_ASSERT_EQUAL(notes.at("witness"), Json(seen).dump());
                CPPUNIT_ASSERT(std::stoull(notes.at("writes")) > 0);
            }
            const auto again = scratch_ + "/again-" + std::to_string(std::hash<std::string>{}(store));
            std::filesystem::create_directories(again);
            LmdbReplicaStore(again, 8 << 20).write(cells, notes);
            CPPUNIT_ASSERT_MESSAGE(store, earlier == records(again));
            replicaStore.write(cells, notes);
            CPPUNIT_ASSERT_MESSAGE(store, earlier == records(opened));
        }
    }

    // The copies of the members agree with each other, and a read and a write end at them.
    void majority() {
        std::vector<consensus::Acceptor> copies;
        for (const auto& store : kMemberStores) {
            const LmdbReplicaStore replicaStore(copied("promptbook/" + store), 8 << 20);
            const auto& address = kStoredMembers[copies.size()].address;
            auto& copy = copies.emplace_back(address, replicaStore.note(storage::kDiskIdentityNote));
            copy.apply({replicaStore.states(), membership::decodeEpochState(Json::parse(
                                                   replicaStore.note(storage::kEpochStateNote)))});
            CPPUNIT_ASSERT(copy.isVotingMember());
        }
        const consensus::Epoch& epoch = copies[0].epochState().epoch;
        const auto ended = [&](const std::string& key, const consensus::Change& change, bool look) {
            consensus::Proposal run(key, epoch, 7, 1000, change, look);
            for (int turns = 0; run.step() != consensus::Proposal::Step::done && turns < 9; ++turns)
                for (std::uint32_t place = 0; place < copies.size(); ++place) {
                    const auto step = run.step();
                    std::optional<consensus::Update> update;
                    const auto request = membership::decodeRequest(membership::encode(run.request()));
                    const auto reply = copies[place].evaluate(request, update);
                    if (update) copies[place].apply(*update);
                    run.handleReply(place, step, membership::decodeReply(membership::encode(reply)));
                    if (run.step() != step) break;
                }
            CPPUNIT_ASSERT(run.step() == consensus::Proposal::Step::done);
            return run.value();
        };
        const auto read = [&](const std::string& key) {
            return ended(
                key, [](const std::string& held) { return held; }, true);
        };
        isConfiguration(read(control_plane::kConfigurationKey), 0x14, kStoredHistory);
        CPPUNIT_ASSERT_EQUAL(messages::encode(storedRollouts()), read(control_plane::kRolloutsKey));
        // Orders by the register's rules, on what was there.
        const auto outcome = [](const std::string& value, const char* target, std::int64_t term) {
            messages::Rollout order;
            order.service = "t", order.target = target, order.timeLimitMs = term;
            return admin::classifyRequest(messages::decodeRollouts(value), order);
        };
        CPPUNIT_ASSERT(outcome(read("rollouts"), "v2", 3'600'000) == admin::RolloutRequestOutcome::known);
        CPPUNIT_ASSERT(outcome(read("rollouts"), "v2", 5000) == admin::RolloutRequestOutcome::underWay);
        CPPUNIT_ASSERT(outcome(read("rollouts"), "v3", 5000) == admin::RolloutRequestOutcome::begun);
        const auto body = config::formatVersion(0x15);
        const auto order = admin::makeRequest(0x15, "not read here " + body);
        const auto after = ended(
            control_plane::kConfigurationKey,
            [&](const std::string& held) { return admin::applyRequest(held, order); }, false);
        CPPUNIT_ASSERT_EQUAL(0x15U, admin::version(after));
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, admin::decodeRecord(after).history.size());
        CPPUNIT_ASSERT_EQUAL(after, read(control_plane::kConfigurationKey));
    }

    // A control node's own code opens each store as its disk, and takes part once others know no later life
    // of it.
    void replicas() {
        const std::map<std::string, std::string> disks{{"c1", "91873c6fb9010468"},
                                                       {"c2", "ea75673e34a7aaeb"},
                                                       {"c3", "142e5df8ad25de68"},
                                                       {"c5", "711b7c9a58769ede"}};
        for (const auto& [store, disk] : disks) {
            copied("promptbook/" + store);
            asio::io_context io;
            const auto told = boot("127.0.1." + store.substr(1), "promptbook/" + store);
            ReplicaNode replica(io, told, {[](const std::string&) {}, [] {}}, ReplicaNode::onDisk(told));
            replica.open();
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, replica.epoch().number);
            CPPUNIT_ASSERT(kStoredMembers == replica.epoch().members);
            CPPUNIT_ASSERT_EQUAL(disk, replica.describe().at("disk").get<std::string>());
            const auto hello = replica.helloFields();
            CPPUNIT_ASSERT_EQUAL(disk, hello.at("about").at("disk").get<std::string>());
            CPPUNIT_ASSERT_EQUAL(store != "c2", hello.at("about").at("seated").get<bool>());
            const auto held = hello.at("about").at("held");
            CPPUNIT_ASSERT_EQUAL(Json({{"configuration", {9, 1778377705}},
                                       {"duties", {9, 1104245121}},
                                       {"rollouts", {34, 1104245121}}}),
                                 held);
            CPPUNIT_ASSERT(!replica.isVotingMember());
            for (const auto& member : kStoredMembers) {
                if (member.address == told.peerAddress(told.ip)) continue;
                auto pong = message("pong");
                pong["at"] = member.address, pong["disk"] = member.disk, pong["of"] = disk;
                pong["seen"] = 1, pong["epoch"] = 4, pong["held"] = held, pong["seated"] = true;
                pong["sent"] = now();
                CPPUNIT_ASSERT(
                    replica.handleMessage(*std::make_shared<PeerConnection>(io, member.address), pong));
            }
            CPPUNIT_ASSERT_EQUAL(store != "c2", replica.isVotingMember());
        }
    }

    // A store from before there were epochs: its members are epoch 1, and what it holds stays.
    void storeBeforeEpochs() {
        const std::string store = "promptbook_before_epochs";
        const std::string me = "127.0.1.1:7720";
        const auto opened = copied(store);
        const auto cells = LmdbReplicaStore(opened, 8 << 20).states();
        const auto told = boot("127.0.1.1", store);
        for (int life = 0; life < 2; ++life) {
            asio::io_context io;
            ReplicaNode replica(io, told, {[](const std::string&) {}, [] {}}, ReplicaNode::onDisk(told));
            replica.open();
            // The first life writes down what it has become. A later one first hears from another member.
            if (life == 0) until(io, "it votes", [&] { return replica.isVotingMember(); });
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, replica.epoch().number);
            CPPUNIT_ASSERT(replica.members() ==
                           (std::set<std::string>{me, "127.0.1.2:7720", "127.0.1.3:7720"}));
            CPPUNIT_ASSERT_EQUAL("first-" + me, replica.describe().at("disk").get<std::string>());
        }
        const LmdbReplicaStore replicaStore(opened, 8 << 20);
        CPPUNIT_ASSERT(cells == replicaStore.states());
        CPPUNIT_ASSERT_EQUAL("first-" + me, replicaStore.note("disk"));
        const auto standing = membership::decodeEpochState(Json::parse(replicaStore.note("standing")));
        CPPUNIT_ASSERT(standing.open);
        CPPUNIT_ASSERT_EQUAL(std::string("first-127.0.1.2:7720"), standing.epoch.members.at(1).disk);
    }

    void values() {
        const auto configuration = bytesOf("values/configuration.bin");
        isConfiguration(configuration, 0x14, kStoredHistory);
        CPPUNIT_ASSERT(configuration == admin::encodeRecord(admin::decodeRecord(configuration)));
        const auto earlier = bytesOf("values/configuration_before_history.bin");
        isConfiguration(earlier, 0x14, {0x14});
        CPPUNIT_ASSERT_EQUAL(admin::body(configuration), admin::body(earlier));
        const auto next = admin::applyRequest(earlier, admin::makeRequest(0x15, "next"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, admin::decodeRecord(next).history.size());
        const auto rollouts = bytesOf("values/rollouts.json");
        const auto duties = bytesOf("values/duties.json");
        CPPUNIT_ASSERT_EQUAL(messages::encode(storedRollouts()), rollouts);
        CPPUNIT_ASSERT_EQUAL(rollouts, messages::encode(messages::decodeRollouts(rollouts)));
        CPPUNIT_ASSERT_EQUAL(duties, leases::encodeLeases(leases::decodeLeases(duties)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7569427027645875800U},
                             leases::decodeLeases(duties).at("list").incarnation);
        // A disk whose epoch is sealed, and that was not told of its opening.
        const auto sealed = bytesOf("values/standing_sealed.json");
        const auto standing = membership::decodeEpochState(Json::parse(sealed));
        CPPUNIT_ASSERT(!standing.open && standing.successor && standing.predecessor);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, standing.successor->number);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, standing.predecessor->number);
        CPPUNIT_ASSERT_EQUAL(sealed, membership::encode(standing).dump());
    }

    // Each message, read and written, is the same bytes on the link.
    // Each message that has a struct is written from it byte for byte as the earlier version sent it.
    void typedMessagesKeepTheirBytes() {
        std::set<std::string> types;
        for (const auto& [name, frame] : frames()) {
            const auto told = decoded(frame);
            if (told.is_null()) continue;  // a heartbeat
            const auto again = throughStruct(told);
            if (!again) continue;
            types.insert(lichenlanding::messages::typeOf(told));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, told, *again);
            CPPUNIT_ASSERT_MESSAGE(name, *PeerConnection::encode(*again) == frame);
        }
        CPPUNIT_ASSERT(types ==
                       (std::set<std::string>{"ack", "configuration", "counts", "digest", "hello", "lost",
                                              "pods", "rollouts", "roster", "vote", "want"}));
    }

    void messages() {
        std::set<std::string> kinds;
        for (const auto& [name, frame] : frames()) {
            const auto told = decoded(frame);
            CPPUNIT_ASSERT_MESSAGE(name, *PeerConnection::encode(told) == frame);
            if (name == "heartbeat") {
                CPPUNIT_ASSERT(told.is_null());
                continue;
            }
            kinds.insert(told.at("t").get<std::string>());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, told, rewritten(told));
            CPPUNIT_ASSERT_MESSAGE(name, *PeerConnection::encode(rewritten(told)) == frame);
        }
        CPPUNIT_ASSERT(kinds ==
                       (std::set<std::string>{"ack", "configuration", "counts", "digest", "hello", "known",
                                              "learn", "lost", "ping", "pods", "pong", "reg", "reply",
                                              "rollouts", "roster", "standing", "vote", "want"}));
        const auto request = [](const char* name) {
            return membership::decodeRequest(message(name).at("request"));
        };
        using Kind = consensus::Request::Kind;
        CPPUNIT_ASSERT(request("reg_look").kind == Kind::read);
        CPPUNIT_ASSERT(request("reg_prepare").kind == Kind::prepare);
        CPPUNIT_ASSERT(request("reg_accept").kind == Kind::accept);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             leases::decodeLeases(request("reg_accept").value).at("list").term);
        CPPUNIT_ASSERT_EQUAL(std::string("epoch/1"), request("reg_accept_epoch").key);
        CPPUNIT_ASSERT(request("reg_seal_in_succession").kind == Kind::seal);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, request("reg_seal_in_succession_holds").knownNumbers.size());
        CPPUNIT_ASSERT(request("reg_install_in_succession").kind == Kind::install);
        CPPUNIT_ASSERT(request("reg_install_in_succession_open").open);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, request("reg_install_in_succession").successor->number);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, request("reg_install_in_succession").predecessor->number);
        const auto reply = [](const char* name) {
            return membership::decodeReply(message(name).at("reply"));
        };
        CPPUNIT_ASSERT(reply("reply_in_succession_refused").rejected);
        CPPUNIT_ASSERT(!reply("reply_not_taken").accepted && reply("reply_taken").accepted);
        CPPUNIT_ASSERT(reply("reply_taken_spared").valueOmitted &&
                       reply("reply_in_succession_taken_sealed").sealed);
        CPPUNIT_ASSERT(reply("reply_in_succession_taken_cells").states.contains("epoch/4"));
        // A writer's number in ballots is a hash of its address; c3 was the first to propose members.
        CPPUNIT_ASSERT_EQUAL(request("reg_accept_epoch").proposalNumber.proposer, numberOf("127.0.1.3:7720"));
        const auto totals = messages::decodeTotals(message("counts").at("totals"));
        CPPUNIT_ASSERT_EQUAL(10U, totals.at("r")[1].bins[0]);
    }

    // The frames of a large message, put together and cut again.
    void pieces() {
        ChunkReassembler assembly;
        std::optional<std::string> whole;
        std::vector<std::string> all;
        for (const auto* index : {"0", "1", "2"}) {
            CPPUNIT_ASSERT(!whole);
            all.push_back(bytesOf(std::string("pieces/configuration.") + index + ".bin"));
            whole = assembly.addFrame(all.back());
        }
        CPPUNIT_ASSERT(whole.has_value());
        const auto told = decoded(*whole);
        CPPUNIT_ASSERT_EQUAL(std::string("configuration"), told.at("t").get<std::string>());
        const auto body = decompress(messages::decodeBytes(told.at("squeezed")));
        CPPUNIT_ASSERT_EQUAL(0x20U, config::Configuration::parse(body).version);
        SendQueue outbox;
        outbox.push(std::make_shared<const std::string>(*whole));
        for (const auto& frame : all) CPPUNIT_ASSERT(*outbox.next() == frame);
        CPPUNIT_ASSERT(outbox.empty());
    }

    // What proxies serve by: the earlier version's news are asked for, taken and told on as they were.
    void news() {
        using MessageSource = ConfigurationCache::MessageSource;
        std::string compressed;
        std::string rollouts;
        ConfigurationCache cache({[&](const std::string& bytes) { compressed = bytes; },
                                  [&](const std::string& text) { rollouts = text; },
                                  {}});
        std::vector<Json> replies;
        const auto hear = [&](ConfigurationCache& by, const Json& told, MessageSource from) {
            replies.clear();
            CPPUNIT_ASSERT(by.handleMessage(told, from, kSecond, [&](Json reply) {
                sameFields(reply.at("t") == "want" ? reply : sure(reply));
                replies.push_back(std::move(reply));
            }));
        };
        const auto digest = message("digest_of_prompter_with_sums");
        hear(cache, digest, MessageSource::controlNode);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
        CPPUNIT_ASSERT_EQUAL(20, replies[0].at("configuration").get<int>());
        CPPUNIT_ASSERT(replies[0].at("rollouts").get<bool>() && replies[0].at("of") == digest.at("edition"));
        for (const auto* name : {"configuration", "rollouts", "pods_whole"}) {
            hear(cache, message(name), MessageSource::controlNode);
            CPPUNIT_ASSERT(replies.empty());
        }
        CPPUNIT_ASSERT_EQUAL(decompress(compressed), admin::body(bytesOf("values/configuration.bin")));
        CPPUNIT_ASSERT_EQUAL(messages::encode(storedRollouts()), rollouts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, cache.endpoints().endpoints().size());
        CPPUNIT_ASSERT_EQUAL(message("configuration"), sure(cache.configurationMessage()));
        CPPUNIT_ASSERT_EQUAL(message("rollouts"), sure(cache.rolloutsMessage()));
        CPPUNIT_ASSERT_EQUAL(message("pods_whole"), sure(cache.fullEndpointsMessage()));
        auto mine = sure(cache.digestMessage());
        mine["clock"] = digest.at("clock");
        CPPUNIT_ASSERT_EQUAL(digest, mine);
        // What others ask for.
        hear(cache, message("want_configuration"), MessageSource::subscriber);
        CPPUNIT_ASSERT_EQUAL(message("configuration"), sure(replies.at(0)));
        hear(cache, message("want_rollouts"), MessageSource::subscriber);
        CPPUNIT_ASSERT_EQUAL(message("rollouts"), sure(replies.at(0)));
        auto want = message("want_held");
        hear(cache, want, MessageSource::subscriber);
        CPPUNIT_ASSERT_EQUAL(digest.at("sums"), replies.at(0).at("sums"));
        want["of"] = digest.at("edition");
        hear(cache, want, MessageSource::subscriber);
        CPPUNIT_ASSERT(!replies.at(0).at("set").empty());
        hear(cache, message("digest_of_prompter"), MessageSource::controlNode);  // a higher configuration
        CPPUNIT_ASSERT_EQUAL(32, replies.at(0).at("configuration").get<int>());
        hear(cache, message("digest_of_foyer_with_sums"), MessageSource::subscriber);  // an earlier edition
        CPPUNIT_ASSERT(replies.empty());  // the same pods: nothing to mend
        hear(cache, message("digest_back"), MessageSource::peerProxy);
        CPPUNIT_ASSERT_EQUAL(message("digest_back").at("edition"), replies.at(0).at("of"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
        // Changes one after the other, and a copy mended.
        auto first = message("pods_whole");
        first["edition"] = {1, 1};
        ConfigurationCache follower({});
        hear(follower, first, MessageSource::controlNode);
        hear(follower, message("pods_change_draining"), MessageSource::controlNode);
        CPPUNIT_ASSERT(replies.empty() && follower.endpoints().endpoints().at("i-0").draining);
        CPPUNIT_ASSERT(!follower.endpoints().endpoints().at("i-12").draining);
        hear(follower, message("pods_change_gone"), MessageSource::controlNode);
        CPPUNIT_ASSERT(replies.empty() && follower.endpoints().hasLeft("i-0"));
        discovery::EndpointEvent aside;
        aside.endpoint.id = "i-99";
        auto held = message("pods_change_gone");
        held["gone"] = Json::array(), held["after"] = {1, 3}, held["edition"] = {1, 4};
        held["set"] = message("pods_change_draining").at("set");
        held["set"][0]["i"] = "i-99", held["set"][0]["d"] = false;
        hear(follower, held, MessageSource::controlNode);
        CPPUNIT_ASSERT(follower.endpoints().endpoints().contains("i-99"));
        hear(follower, message("pods_mended_aside"), MessageSource::controlNode);
        CPPUNIT_ASSERT(follower.endpoints().hasLeft("i-3") && !follower.endpoints().hasLeft("i-99"));
        CPPUNIT_ASSERT(!follower.endpoints().endpoints().contains("i-99"));
    }

    // The holder of the list tells a change as the earlier version told it.
    void listChanges() {
        std::map<std::string, discovery::Endpoint> pods;
        for (const auto& pod : message("pods_whole").at("set")) {
            const auto member = messages::decodeEndpoint(pod);
            pods[member.id] = member;
        }
        const auto change = message("pods_change_draining").at("set");
        const auto leaves = messages::decodeEndpoint(change.at(0));
        const auto comes = messages::decodeEndpoint(change.at(1));
        pods.erase(comes.id), pods[leaves.id] = leaves, pods[leaves.id].draining = false;
        const auto list = [&] {
            std::vector<discovery::Endpoint> all;
            for (const auto& [_, pod] : pods) all.push_back(pod);
            return all;
        };
        ConfigurationCache cache({});
        CPPUNIT_ASSERT(cache.updateEndpoints(list(), 1).is_null());
        pods[leaves.id] = leaves, pods[comes.id] = comes;
        CPPUNIT_ASSERT_EQUAL(message("pods_change_draining"), sure(cache.updateEndpoints(list(), 1)));
        pods.erase(leaves.id);
        CPPUNIT_ASSERT_EQUAL(message("pods_change_gone"), sure(cache.updateEndpoints(list(), 1)));
    }

    // Whatever keepers of the register say to each other has the fields that it had: a write, a founding, and
    // a change of the members.
    void keepersTalk() {
        replica_fixture::Cluster cast(4, 4);
        std::set<std::string> kinds;
        std::vector<Json> all;
        for (auto& node : cast.nodes)
            node->onDelivered = [&](const PeerConnection&, const Json& told) {
                const auto kind = told.at("t").get<std::string>();
                if (kind == "hello") return;  // its kind and name are the host's
                kinds.insert(kind), all.push_back(told);
            };
        cast.until("contact", [&] { return cast.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("value"), cast.write(0, "value"));
        cast.nodes[1]->kill();
        cast.until("another sits in its place", [&] { return cast.replica(3).isVotingMember(); });
        cast.until("its word", [&] { return kinds.size() == 6; });
        for (const auto& told : all) sameFields(told);
        CPPUNIT_ASSERT(kinds == (std::set<std::string>{"learn", "ping", "pong", "reg", "reply", "standing"}));
    }

    // The control node's program understands the earlier version's proxies and control nodes, and they it.
    void controlNodeTalks() {
        const int internal = freePort();
        const int from = freePort();
        const std::string ip = "127.0.5.1";
        const std::string other = "127.0.5.2";
        asio::io_context io{1};
        auto another = message("hello_of_foyer");
        auto core = message("hello_of_prompter");
        another["name"] = "f2";
        core["at"] = core["about"]["at"] = at(other, internal), core["members"] = {at(other, internal)};
        core["standing"]["epoch"]["number"] = 0;  // of no members that would take the place of its own
        Played proxy(message("hello_of_foyer"));
        Played otherProxy(another);
        Played controlNode(core);
        tcp::acceptor door(listen(io, at(other, internal)));
        spawn(io, "links", servePeerConnections(io, door, controlNode.owner));
        const Program program("prompter", settings("c1", ip, ip, internal, from), scratch_ + "/settings");
        std::vector<std::shared_ptr<Dialer>> dialers;
        for (auto* played : {&proxy, &otherProxy}) {
            dialers.push_back(std::make_shared<Dialer>(io, at(ip, internal), played->owner));
            dialers.back()->start();
        }
        until(io, "both are greeted and enrolled", [&] {
            return proxy.find("hello") && proxy.find("digest") &&
                   proxy.find("roster", [](const Json& told) { return told.at("foyers").size() == 2; });
        });
        const auto rpc = [&](const std::string& call, const std::string& body) {
            std::string answer;
            until(io, call.c_str(), [&] { return !(answer = ask(at(ip, from), call, body)).empty(); });
            return answer;
        };
        const auto status = [&] { return Json::parse(rpc("status", "")); };
        until(io, "it is in contact", [&] { return status().at("register").at("contact").get<bool>(); });
        rpc("config.replace", admin::body(bytesOf("values/configuration.bin")));
        rpc("rollouts.begin", R"({"service_name":"s","target_version":"v2","deadline":"3600s"})");
        until(io, "the proxy is told", [&] {
            return proxy.find("digest", [](const Json& told) { return told.at("configuration") == 20; }) &&
                   proxy.find("rollouts");
        });
        proxy.say("want_configuration");
        until(io, "it is answered", [&] { return proxy.find("configuration"); });
        CPPUNIT_ASSERT_EQUAL(message("configuration"), *proxy.find("configuration"));
        proxy.say("want_rollouts"), proxy.say("ack"), proxy.say("lost"), proxy.say("vote_1");
        until(io, "rollouts come again", [&] {
            return std::count_if(proxy.heard.begin(), proxy.heard.end(),
                                 [](const Json& told) { return told.at("t") == "rollouts"; }) > 1;
        });
        until(io, "ack, loss and vote are known", [&] {
            const auto told = status();
            return told.at("foyers").at("f1").at("configuration") == "00000010" &&
                   told.at("foyers").at("f2").at("missed_by") == 1 && told.at("votes").size() == 1 &&
                   told.at("votes").at(0) == message("vote_1");
        });
        proxy.say("digest_of_foyer_with_sums");
        // As another control node.
        dialers.push_back(std::make_shared<Dialer>(io, at(ip, internal), controlNode.owner));
        dialers.back()->start();
        until(io, "it dials, pings and says what it knows", [&] {
            return controlNode.find("hello") && controlNode.find("ping") && controlNode.find("known");
        });
        const auto send = [&](Json told) {
            if (const auto link = dialers.back()->connection()) link->send(told);
        };
        auto ping = message("ping_whole");
        auto known = message("known_with_ages");
        ping["at"] = ping["about"]["at"] = at(other, internal);
        send(ping);
        until(io, "it answers", [&] { return controlNode.find("pong"); });
        CPPUNIT_ASSERT_EQUAL(ping.at("sent"), controlNode.find("pong")->at("sent"));
        CPPUNIT_ASSERT_EQUAL(ping.at("disk"), controlNode.find("pong")->at("of"));
        known["ages"] = {{"s\nv2\n3600000", 500'000, 0, 500'000}};
        send(known);
        until(io, "it has learnt the order's age", [&] {
            return controlNode.find("known", [](const Json& told) {
                return !told.at("ages").empty() && told.at("ages").at(0).at(1).get<int>() >= 500'000;
            });
        });
        CPPUNIT_ASSERT_EQUAL(
            numberOf(at(ip, internal)),
            messages::decodeProposalNumber(controlNode.find("known")->at("ballots").at("rollouts")).proposer);
        CPPUNIT_ASSERT(status().at("register").at("contact").get<bool>());
    }

    // The proxy's program understands the earlier version's control nodes and proxies, and they it.
    void proxyTalks() {
        const int internal = freePort();
        const int from = freePort();
        const std::string ip = "127.0.6.2";
        const std::string core = "127.0.6.1";
        const std::string third = "127.0.6.3";
        asio::io_context io{1};
        auto hello = message("hello_of_prompter");
        auto otherProxy = message("hello_of_foyer");
        hello["at"] = at(core, internal), hello["members"] = {at(core, internal)};
        otherProxy["name"] = "f9", otherProxy["at"] = at(third, internal);
        Played controlNode(hello);
        Played proxy(otherProxy);
        tcp::acceptor first(listen(io, at(core, internal)));
        tcp::acceptor another(listen(io, at(third, internal)));
        spawn(io, "links", servePeerConnections(io, first, controlNode.owner));
        spawn(io, "links", servePeerConnections(io, another, proxy.owner));
        const Program program("foyer", settings("e1", ip, core, internal, from), scratch_ + "/settings");
        until(io, "it says hello", [&] { return controlNode.find("hello"); });
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), controlNode.find("hello")->at("name").get<std::string>());
        controlNode.say("heartbeat"), controlNode.say("digest_of_prompter_with_sums");
        until(io, "it asks", [&] { return controlNode.find("want"); });
        CPPUNIT_ASSERT_EQUAL(20, controlNode.find("want")->at("configuration").get<int>());
        CPPUNIT_ASSERT(controlNode.find("want")->at("rollouts").get<bool>());
        for (const auto* name : {"configuration", "rollouts", "pods_whole"}) controlNode.say(name);
        until(io, "it has the configuration", [&] {
            return controlNode.find("ack", [](const Json& told) { return told.at("configuration") == 20; });
        });
        auto roster = message("roster");
        roster["foyers"] = {{"f9", at(third, internal)}};
        controlNode.onHello->send(roster);
        until(io, "it votes and says hello, digest and counts to the other proxy", [&] {
            return controlNode.find("vote") && proxy.find("hello") && proxy.find("digest") &&
                   proxy.find("counts");
        });
        CPPUNIT_ASSERT_EQUAL(std::string("t\nv2"), proxy.find("counts")->at("rollout").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(message("digest_of_prompter_with_sums").at("sums"),
                             proxy.find("digest")->at("sums"));
        auto counts = message("counts");
        counts["from"] = "f9", counts["rollout"] = "t\nv2";
        proxy.onHello->send(counts);
        until(io, "it judges by the sums of both", [&] {
            return controlNode.find("vote", [](const Json& told) {
                return told.at("earlier") == 10 && told.at("service") == "t" && told.at("target") == "v2";
            });
        });
        ErrorCode ignored;
        another.close(ignored);
        proxy.onHello->close();
        until(io, "it tells the loss", [&] { return controlNode.find("lost"); });
        CPPUNIT_ASSERT_EQUAL(std::string("f9"), controlNode.find("lost")->at("name").get<std::string>());
    }

  private:
    // One call of the operator's; "" where it is not answered with 200.
    static std::string ask(const std::string& address, const std::string& call, const std::string& body) {
        asio::io_context io;
        beast::tcp_stream stream(io);
        ErrorCode code;
        stream.socket().connect(parseAddress(address), code);
        if (code) return "";
        http::request<http::string_body> request(http::verb::post, "/api/rpc?call=" + call, 11);
        request.set(http::field::host, "h");
        request.body() = body;
        request.prepare_payload();
        http::write(stream, request, code);
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        if (!code) http::read(stream, buffer, response, code);
        return code || response.result_int() != 200 ? "" : response.body();
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PreviousVersionTest);
