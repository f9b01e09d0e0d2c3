// Compatibility with an earlier version: the stores and messages that it wrote
// (tests/fixtures/previous_version) can be read and are written back byte for byte. Names in the code may
// change; these bytes may not.
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
constexpr int kPort = 7720;  // port of the addresses in the fixtures

std::string bytesOf(const std::string& name) {
    std::ifstream file(kFolder + "/" + name, std::ios::binary);
    CPPUNIT_ASSERT_MESSAGE(name, file.good());
    std::stringstream bytes;
    bytes << file.rdbuf();
    return bytes.str();
}

std::string decodeHex(const std::string& digits) {
    std::string bytes;
    for (std::size_t at = 0; at + 1 < digits.size(); at += 2)
        bytes += static_cast<char>(std::stoi(digits.substr(at, 2), nullptr, 16));
    return bytes;
}

// The encoded messages by their name in messages.txt.
const std::map<std::string, std::string>& frames() {
    static const auto kAll = [] {
        std::map<std::string, std::string> read;
        std::istringstream lines(bytesOf("messages.txt"));
        for (std::string name, digits; lines >> name >> digits;) read[name] = decodeHex(digits);
        return read;
    }();
    return kAll;
}

Json decoded(const std::string& frame) { return Json::from_cbor(decompress(frame)); }
Json message(const std::string& name) { return decoded(frames().at(name)); }

// Collects the paths of all fields, such as ".reply.cell" or ".set[].i". Maps keyed by name or number count
// as one field; their entries are not descended into.
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

std::string kindOf(const Json& json) {
    return json.at("t").get<std::string>() +
           (json.contains("kind") ? json.at("kind").get<std::string>() : "");
}

// Checks that a message of this version has no field that no earlier message of its kind had, and every field
// that all of those had.
void checkFields(const Json& json) {
    std::set<std::string> allowed;
    std::set<std::string> needed;
    bool any = false;
    for (const auto& [name, frame] : frames()) {
        const auto earlier = decoded(frame);
        if (earlier.is_null() || kindOf(earlier) != kindOf(json)) continue;
        const auto these = fields(earlier);
        allowed.insert(these.begin(), these.end());
        if (any) std::erase_if(needed, [&](const auto& field) { return !these.contains(field); });
        else needed = these;
        any = true;
    }
    CPPUNIT_ASSERT_MESSAGE("the fixtures hold no message of the kind of " + json.dump(), any);
    const auto these = fields(json);
    for (const auto& field : these)
        CPPUNIT_ASSERT_MESSAGE(field + " is new in " + json.dump(), allowed.contains(field));
    for (const auto& field : needed)
        CPPUNIT_ASSERT_MESSAGE(field + " is missing in " + json.dump(), these.contains(field));
}

std::uint32_t proposerOf(const std::string& address) {
    return static_cast<std::uint32_t>(hashing::hash("member", address));
}

Json proposalNumbers(Json all) {
    for (const auto& [_, proposalNumber] : all.items())
        proposalNumber = messages::encode(messages::decodeProposalNumber(proposalNumber));
    return all;
}
Json epoch(const Json& json) { return membership::encode(membership::decodeEpoch(json)); }

// Decodes and encodes each part of the message that has a codec.
Json rewritten(Json json) {
    const auto kind = json.at("t").get<std::string>();
    if (kind == "standing")
        for (const auto* name : {"epoch", "from", "to"})
            if (json.contains(name)) json[name] = epoch(json[name]);
    if (kind == "hello" && json.contains("standing")) json["standing"] = rewritten(json["standing"]);
    if (json.contains("about") && json["about"].is_object())
        json["about"]["held"] = proposalNumbers(json["about"]["held"]);
    if (kind == "pong") json["held"] = proposalNumbers(json["held"]);
    if (kind == "known") json["ballots"] = proposalNumbers(json["ballots"]);
    if (kind == "learn") json["ballot"] = messages::encode(messages::decodeProposalNumber(json["ballot"]));
    if (kind == "reg") json["request"] = membership::encode(membership::decodeRequest(json["request"]));
    if (kind == "reply") json["reply"] = membership::encode(membership::decodeReply(json["reply"]));
    if (kind == "counts") json["totals"] = messages::encode(messages::decodeTotals(json["totals"]));
    if (kind == "configuration")
        json["squeezed"] = messages::encodeBytes(messages::decodeBytes(json["squeezed"]));
    if (kind == "rollouts") json["list"] = messages::encode(messages::decodeRollouts(json["list"]));
    if (kind == "pods")
        for (auto& pod : json["set"]) pod = messages::encode(messages::decodeEndpoint(pod));
    return json;
}

Json withConfirmed(Json json) {
    json["sure"] = true;
    return json;
}

// Decodes the message into its struct and encodes it again; fields that any message may carry are copied.
// std::nullopt if the message has no struct. The hello of a control node has more fields than its struct;
// they are copied too.
std::optional<Json> throughStruct(const Json& json) {
    const auto& type = messages::typeOf(json);
    Json reencoded;
    if (type == messages::kTypeHello) reencoded = messages::encode(messages::decodeHello(json));
    else if (type == messages::kTypeRoster) reencoded = messages::encode(messages::decodeRoster(json));
    else if (type == messages::kTypeDigest) reencoded = messages::encode(messages::decodeDigest(json));
    else if (type == messages::kTypeFetch) reencoded = messages::encode(messages::decodeFetchRequest(json));
    else if (type == messages::kTypeConfiguration)
        reencoded = messages::encode(messages::decodeConfigurationUpdate(json));
    else if (type == messages::kTypeRollouts)
        reencoded = messages::encode(messages::decodeRolloutsUpdate(json));
    else if (type == messages::kTypeEndpoints)
        reencoded = messages::encode(messages::decodeEndpointsUpdate(json));
    else if (type == messages::kTypeAcknowledgement)
        reencoded = messages::encode(messages::decodeAcknowledgement(json));
    else if (type == messages::kTypePeerLost) reencoded = messages::encode(messages::decodePeerLost(json));
    else if (type == messages::kTypeCounts) reencoded = messages::encode(messages::decodeCountsReport(json));
    else if (type == messages::kTypeVote) reencoded = messages::encode(messages::decodeVote(json));
    else return std::nullopt;
    for (const auto* field : {messages::kFieldConfirmed, messages::kFieldClock})
        if (json.contains(field)) reencoded[field] = json[field];
    if (type == messages::kTypeHello && json.at("kind") == messages::kWireKindControlNode)
        for (const auto* field : {"formed", "about", "standing"}) reencoded[field] = json.at(field);
    return std::make_optional<Json>(std::move(reencoded));
}

// All raw records of a store, with their checksums.
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

void checkConfiguration(const std::string& value, std::uint32_t version,
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

// Runs the gateway binary with a settings file, and kills it at the end.
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

// A peer played by the test: sends `greeting` as its hello and records the messages that it receives.
struct FakePeer {
    explicit FakePeer(Json greeting_) : greeting(std::move(greeting_)) {
        owner->makeHello = [this](PeerConnection&) { return greeting; };
        owner->onMessage = [this](PeerConnection& link, const Json& json) {
            lastLink = link.shared_from_this(), received.push_back(json);
            try {
                checkFields(json);
            } catch (const CppUnit::Exception& other) {  // the connection must not see it; find() reports it
                if (fieldError.empty()) fieldError = other.what();
            }
            if (json.at("t") == "hello") helloLink = lastLink;
        };
        owner->onClosed = [](PeerConnection&) {};
    }
    const Json* find(const std::string& kind, const std::function<bool(const Json&)>& fits = {}) const {
        CPPUNIT_ASSERT_MESSAGE(fieldError, fieldError.empty());
        for (const auto& json : received)
            if (json.at("t") == kind && (!fits || fits(json))) return &json;
        return nullptr;
    }
    void sendFixture(const std::string& name) {
        helloLink->send(std::make_shared<const std::string>(frames().at(name)));
    }

    Json greeting;
    std::shared_ptr<PeerConnection::Callbacks> owner = std::make_shared<PeerConnection::Callbacks>();
    std::shared_ptr<PeerConnection> lastLink, helloLink;
    std::deque<Json> received;
    std::string fieldError;
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
    CPPUNIT_TEST(chunks);
    CPPUNIT_TEST(subscriptionMessages);
    CPPUNIT_TEST(listChanges);
    CPPUNIT_TEST(replicasKeepMessageFields);
    CPPUNIT_TEST(controlNodeInteroperates);
    CPPUNIT_TEST(proxyInteroperates);
    CPPUNIT_TEST_SUITE_END();

    std::string scratch_;

    // Copies a store of the fixtures to a data_dir and returns the path.
    std::string copyStore(const std::string& store) const {
        const auto to = scratch_ + "/" + store + "/promptbook";
        std::filesystem::create_directories(to);
        std::filesystem::copy_file(kFolder + "/" + store + "/data.mdb", to + "/data.mdb",
                                   std::filesystem::copy_options::overwrite_existing);
        return to;
    }
    config::BootstrapSettings bootstrapSettings(const std::string& ip, const std::string& store) const {
        config::BootstrapSettings bootstrap;
        bootstrap.ip = bootstrap.name = ip, bootstrap.internalPorts = {kPort}, bootstrap.quorumMember = true;
        bootstrap.seeds = {"127.0.1.1:1", "127.0.1.2:1", "127.0.1.3:1"};
        bootstrap.dataDir = scratch_ + "/" + store, bootstrap.diskMegabytes = 16;
        return bootstrap;
    }
    static int freePort() {
        asio::io_context io;
        return listen(io, "127.0.0.1:0").local_endpoint().port();
    }
    static std::string at(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }
    Json settings(const std::string& name, const std::string& ip, const std::string& seed, int internalPort,
                  int firstPort) const {
        return {{"node_name", name},
                {"ip_address", ip},
                {"zone", "z"},
                {"internal_ports", {internalPort}},
                {"seed_nodes", {at(seed, firstPort)}},
                {"bootstrap", true},
                {"quorum_member", true},
                {"heartbeat", "300ms"},
                {"data_dir", scratch_},
                {"limits", {{"disk_mb", 64}}},
                {"fault_tolerance", {{"machines", 0}}},
                {"cloud_api", {{"address", "127.0.0.1:1"}, {"rate_per_s", 1.0}}},
                {"listen_addresses",
                 {{"front_http", at(ip, firstPort + 1)},
                  {"readiness", at(ip, firstPort + 2)},
                  {"control_plane", at(ip, firstPort)}}}};
    }
    template <typename Done>
    static void until(asio::io_context& io, const char* what, Done done) {
        for (const Nanos last = now() + 20 * kSecond; !done();) {
            io.run_one_for(std::chrono::milliseconds(50));
            CPPUNIT_ASSERT_MESSAGE(std::string("timed out waiting until ") + what, now() < last);
        }
    }

  public:
    void setUp() override {
        auto made = (std::filesystem::temp_directory_path() / "previous-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(made.data()));
        scratch_ = made;
    }
    void tearDown() override { std::filesystem::remove_all(scratch_); }

    // Each store can be read, and the same contents written to a new store give the same records, byte for
    // byte.
    void stores() {
        for (const std::string store : {"promptbook/c1", "promptbook/c2", "promptbook/c3", "promptbook/c5",
                                        "promptbook_before_epochs"}) {
            const bool withoutEpochs = store == "promptbook_before_epochs";
            const auto opened = copyStore(store);
            const auto earlier = records(opened);
            LmdbReplicaStore replicaStore(opened, 8 << 20);
            const auto cells = replicaStore.states();
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cells.size());
            std::set<std::string> noteNames;
            std::set<std::string> expectedNames{"disk", "standing", "writes", "witness"};
            if (withoutEpochs) expectedNames = {"members"};
            std::map<std::string, std::string> notes;
            for (const auto& [key, _] : earlier)
                if (key[0] == 'n')
                    noteNames.insert(key.substr(1)), notes[key.substr(1)] = replicaStore.note(key.substr(1));
            CPPUNIT_ASSERT(expectedNames == noteNames);
            CPPUNIT_ASSERT_EQUAL(
                std::string("diskstandingmembers"),
                storage::kDiskIdentityNote + storage::kEpochStateNote + storage::kLegacyMembersNote);
            checkConfiguration(cells.at(control_plane::kConfigurationKey).value, withoutEpochs ? 0x11 : 0x14,
                               withoutEpochs ? std::vector<std::uint32_t>{0x10, 0x11, 0x0f} : kStoredHistory);
            const auto rollouts = cells.at(control_plane::kRolloutsKey).value;
            CPPUNIT_ASSERT_EQUAL(rollouts, messages::encode(messages::decodeRollouts(rollouts)));
            if (!withoutEpochs) CPPUNIT_ASSERT_EQUAL(messages::encode(storedRollouts()), rollouts);
            const auto duties = leases::decodeLeases(cells.at(control_plane::kLeasesKey).value);
            CPPUNIT_ASSERT_EQUAL(withoutEpochs ? "127.0.1.2:7720" : std::string("127.0.1.3:7720"),
                                 duties.at("list").holder);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{withoutEpochs ? 1U : 3U}, duties.at("list").term);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{withoutEpochs ? 1U : 2U}, duties.at("rollouts").term);
            if (!withoutEpochs) {
                const auto standing = membership::decodeEpochState(Json::parse(notes.at("standing")));
                CPPUNIT_ASSERT(standing.open && !standing.successor && !standing.predecessor);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, standing.epoch.number);
                CPPUNIT_ASSERT(kStoredMembers == standing.epoch.members);
                CPPUNIT_ASSERT_EQUAL(notes.at("standing"), membership::encode(standing).dump());
                const auto witnessed =
                    Json::parse(notes.at("witness")).get<std::map<std::string, std::uint64_t>>();
                CPPUNIT_ASSERT(witnessed.size() >= 4);
                CPPUNIT_ASSERT_EQUAL(notes.at("witness"), Json(witnessed).dump());
                CPPUNIT_ASSERT(std::stoull(notes.at("writes")) > 0);
            }
            const auto rewrittenStore =
                scratch_ + "/again-" + std::to_string(std::hash<std::string>{}(store));
            std::filesystem::create_directories(rewrittenStore);
            LmdbReplicaStore(rewrittenStore, 8 << 20).write(cells, notes);
            CPPUNIT_ASSERT_MESSAGE(store, earlier == records(rewrittenStore));
            replicaStore.write(cells, notes);
            CPPUNIT_ASSERT_MESSAGE(store, earlier == records(opened));
        }
    }

    // The members' replicas are consistent: a read and a write complete on them.
    void majority() {
        std::vector<consensus::Acceptor> acceptors;
        for (const auto& store : kMemberStores) {
            const LmdbReplicaStore replicaStore(copyStore("promptbook/" + store), 8 << 20);
            const auto& address = kStoredMembers[acceptors.size()].address;
            auto& acceptor = acceptors.emplace_back(address, replicaStore.note(storage::kDiskIdentityNote));
            acceptor.apply({replicaStore.states(), membership::decodeEpochState(Json::parse(
                                                       replicaStore.note(storage::kEpochStateNote)))});
            CPPUNIT_ASSERT(acceptor.isVotingMember());
        }
        const consensus::Epoch& epoch = acceptors[0].epochState().epoch;
        const auto runProposal = [&](const std::string& key, const consensus::Change& change, bool readOnly) {
            consensus::Proposal proposal(key, epoch, 7, 1000, change, readOnly);
            for (int turns = 0; proposal.step() != consensus::Proposal::Step::done && turns < 9; ++turns)
                for (std::uint32_t place = 0; place < acceptors.size(); ++place) {
                    const auto step = proposal.step();
                    std::optional<consensus::Update> update;
                    const auto request = membership::decodeRequest(membership::encode(proposal.request()));
                    const auto reply = acceptors[place].evaluate(request, update);
                    if (update) acceptors[place].apply(*update);
                    proposal.handleReply(place, step, membership::decodeReply(membership::encode(reply)));
                    if (proposal.step() != step) break;
                }
            CPPUNIT_ASSERT(proposal.step() == consensus::Proposal::Step::done);
            return proposal.value();
        };
        const auto read = [&](const std::string& key) {
            return runProposal(
                key, [](const std::string& held) { return held; }, true);
        };
        checkConfiguration(read(control_plane::kConfigurationKey), 0x14, kStoredHistory);
        CPPUNIT_ASSERT_EQUAL(messages::encode(storedRollouts()), read(control_plane::kRolloutsKey));
        // New requests are classified against the stored rollouts and configuration.
        const auto outcome = [](const std::string& value, const char* target, std::int64_t timeLimitMs) {
            messages::Rollout order;
            order.service = "t", order.target = target, order.timeLimitMs = timeLimitMs;
            return admin::classifyRequest(messages::decodeRollouts(value), order,
                                          {5000, [](const auto& recorded) { return recorded.ageMs; }});
        };
        // The stored rollout of v2 has been running for longer than a request is repeated.
        CPPUNIT_ASSERT(outcome(read("rollouts"), "v2", 3'600'000) == admin::RolloutRequestOutcome::running);
        CPPUNIT_ASSERT(outcome(read("rollouts"), "v2", 5000) == admin::RolloutRequestOutcome::underWay);
        CPPUNIT_ASSERT(outcome(read("rollouts"), "v3", 5000) == admin::RolloutRequestOutcome::begun);
        const auto body = config::formatVersion(0x15);
        const auto order = admin::makeRequest(0x15, "not read here " + body);
        const auto after = runProposal(
            control_plane::kConfigurationKey,
            [&](const std::string& held) { return admin::applyRequest(held, order); }, false);
        CPPUNIT_ASSERT_EQUAL(0x15U, admin::version(after));
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, admin::decodeRecord(after).history.size());
        CPPUNIT_ASSERT_EQUAL(after, read(control_plane::kConfigurationKey));
    }

    // A ReplicaNode opens each store as its disk. It votes once the other members have confirmed that they
    // know no later incarnation of that disk.
    void replicas() {
        const std::map<std::string, std::string> disks{{"c1", "91873c6fb9010468"},
                                                       {"c2", "ea75673e34a7aaeb"},
                                                       {"c3", "142e5df8ad25de68"},
                                                       {"c5", "711b7c9a58769ede"}};
        for (const auto& [store, disk] : disks) {
            copyStore("promptbook/" + store);
            asio::io_context io;
            const auto bootstrap = bootstrapSettings("127.0.1." + store.substr(1), "promptbook/" + store);
            ReplicaNode replica(io, bootstrap, {[](const std::string&) {}, [] {}},
                                ReplicaNode::onDisk(bootstrap));
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
                if (member.address == bootstrap.peerAddress(bootstrap.ip)) continue;
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

    // A store written before epochs existed: its members become epoch 1 and its contents are kept.
    void storeBeforeEpochs() {
        const std::string store = "promptbook_before_epochs";
        const std::string self = "127.0.1.1:7720";
        const auto opened = copyStore(store);
        const auto cells = LmdbReplicaStore(opened, 8 << 20).states();
        const auto bootstrap = bootstrapSettings("127.0.1.1", store);
        for (int start = 0; start < 2; ++start) {
            asio::io_context io;
            ReplicaNode replica(io, bootstrap, {[](const std::string&) {}, [] {}},
                                ReplicaNode::onDisk(bootstrap));
            replica.open();
            // The first start stores the converted epoch. A later start can't vote before it has contact with
            // another member.
            if (start == 0) until(io, "it votes", [&] { return replica.isVotingMember(); });
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, replica.epoch().number);
            CPPUNIT_ASSERT(replica.members() ==
                           (std::set<std::string>{self, "127.0.1.2:7720", "127.0.1.3:7720"}));
            CPPUNIT_ASSERT_EQUAL("first-" + self, replica.describe().at("disk").get<std::string>());
        }
        const LmdbReplicaStore replicaStore(opened, 8 << 20);
        CPPUNIT_ASSERT(cells == replicaStore.states());
        CPPUNIT_ASSERT_EQUAL("first-" + self, replicaStore.note("disk"));
        const auto standing = membership::decodeEpochState(Json::parse(replicaStore.note("standing")));
        CPPUNIT_ASSERT(standing.open);
        CPPUNIT_ASSERT_EQUAL(std::string("first-127.0.1.2:7720"), standing.epoch.members.at(1).disk);
    }

    void values() {
        const auto configuration = bytesOf("values/configuration.bin");
        checkConfiguration(configuration, 0x14, kStoredHistory);
        CPPUNIT_ASSERT(configuration == admin::encodeRecord(admin::decodeRecord(configuration)));
        const auto earlier = bytesOf("values/configuration_before_history.bin");
        checkConfiguration(earlier, 0x14, {0x14});
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
        // A disk whose epoch is sealed, and which has not received the opening of the successor.
        const auto sealed = bytesOf("values/standing_sealed.json");
        const auto standing = membership::decodeEpochState(Json::parse(sealed));
        CPPUNIT_ASSERT(!standing.open && standing.successor && standing.predecessor);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, standing.successor->number);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, standing.predecessor->number);
        CPPUNIT_ASSERT_EQUAL(sealed, membership::encode(standing).dump());
    }

    // Each message that has a struct is encoded from it byte for byte as the earlier version sent it.
    void typedMessagesKeepTheirBytes() {
        std::set<std::string> types;
        for (const auto& [name, frame] : frames()) {
            const auto json = decoded(frame);
            if (json.is_null()) continue;  // a heartbeat
            const auto reencoded = throughStruct(json);
            if (!reencoded) continue;
            types.insert(lichenlanding::messages::typeOf(json));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, json, *reencoded);
            CPPUNIT_ASSERT_MESSAGE(name, *PeerConnection::encode(*reencoded) == frame);
        }
        CPPUNIT_ASSERT(types ==
                       (std::set<std::string>{"ack", "configuration", "counts", "digest", "hello", "lost",
                                              "pods", "rollouts", "roster", "vote", "want"}));
    }

    // Each message is encoded to the same bytes after decoding, and its parts keep their meaning.
    void messages() {
        std::set<std::string> kinds;
        for (const auto& [name, frame] : frames()) {
            const auto json = decoded(frame);
            CPPUNIT_ASSERT_MESSAGE(name, *PeerConnection::encode(json) == frame);
            if (name == "heartbeat") {
                CPPUNIT_ASSERT(json.is_null());
                continue;
            }
            kinds.insert(json.at("t").get<std::string>());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, json, rewritten(json));
            CPPUNIT_ASSERT_MESSAGE(name, *PeerConnection::encode(rewritten(json)) == frame);
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
        // The proposer in a proposal number is a hash of its address; c3 was the first to propose members.
        CPPUNIT_ASSERT_EQUAL(request("reg_accept_epoch").proposalNumber.proposer,
                             proposerOf("127.0.1.3:7720"));
        const auto totals = messages::decodeTotals(message("counts").at("totals"));
        CPPUNIT_ASSERT_EQUAL(10U, totals.at("r")[1].bins[0]);
    }

    // The frames of a chunked message are reassembled, and chunked again into the same frames.
    void chunks() {
        ChunkReassembler assembly;
        std::optional<std::string> whole;
        std::vector<std::string> all;
        for (const auto* index : {"0", "1", "2"}) {
            CPPUNIT_ASSERT(!whole);
            all.push_back(bytesOf(std::string("pieces/configuration.") + index + ".bin"));
            whole = assembly.addFrame(all.back());
        }
        CPPUNIT_ASSERT(whole.has_value());
        const auto json = decoded(*whole);
        CPPUNIT_ASSERT_EQUAL(std::string("configuration"), json.at("t").get<std::string>());
        const auto body = decompress(messages::decodeBytes(json.at("squeezed")));
        CPPUNIT_ASSERT_EQUAL(0x20U, config::Configuration::parse(body).version);
        SendQueue outbox;
        outbox.push(std::make_shared<const std::string>(*whole));
        for (const auto& frame : all) CPPUNIT_ASSERT(*outbox.next() == frame);
        CPPUNIT_ASSERT(outbox.empty());
    }

    // A proxy's cache requests, accepts and forwards the earlier version's updates unchanged.
    void subscriptionMessages() {
        using MessageSource = ConfigurationCache::MessageSource;
        std::string compressed;
        std::string rollouts;
        ConfigurationCache cache({[&](const std::string& bytes) { compressed = bytes; },
                                  [&](const std::string& text) { rollouts = text; },
                                  {}});
        std::vector<Json> replies;
        const auto deliver = [&](ConfigurationCache& receiver, const Json& json, MessageSource from) {
            replies.clear();
            CPPUNIT_ASSERT(receiver.handleMessage(json, from, kSecond, [&](Json reply) {
                checkFields(reply.at("t") == "want" ? reply : withConfirmed(reply));
                replies.push_back(std::move(reply));
            }));
        };
        const auto digest = message("digest_of_prompter_with_sums");
        deliver(cache, digest, MessageSource::controlNode);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
        CPPUNIT_ASSERT_EQUAL(20, replies[0].at("configuration").get<int>());
        CPPUNIT_ASSERT(replies[0].at("rollouts").get<bool>() && replies[0].at("of") == digest.at("edition"));
        for (const auto* name : {"configuration", "rollouts", "pods_whole"}) {
            deliver(cache, message(name), MessageSource::controlNode);
            CPPUNIT_ASSERT(replies.empty());
        }
        CPPUNIT_ASSERT_EQUAL(decompress(compressed), admin::body(bytesOf("values/configuration.bin")));
        CPPUNIT_ASSERT_EQUAL(messages::encode(storedRollouts()), rollouts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, cache.endpoints().endpoints().size());
        CPPUNIT_ASSERT_EQUAL(message("configuration"), withConfirmed(cache.configurationMessage()));
        CPPUNIT_ASSERT_EQUAL(message("rollouts"), withConfirmed(cache.rolloutsMessage()));
        CPPUNIT_ASSERT_EQUAL(message("pods_whole"), withConfirmed(cache.fullEndpointsMessage()));
        auto ownDigest = withConfirmed(cache.digestMessage());
        ownDigest["clock"] = digest.at("clock");
        CPPUNIT_ASSERT_EQUAL(digest, ownDigest);
        // Requests by other proxies.
        deliver(cache, message("want_configuration"), MessageSource::subscriber);
        CPPUNIT_ASSERT_EQUAL(message("configuration"), withConfirmed(replies.at(0)));
        deliver(cache, message("want_rollouts"), MessageSource::subscriber);
        CPPUNIT_ASSERT_EQUAL(message("rollouts"), withConfirmed(replies.at(0)));
        auto want = message("want_held");
        deliver(cache, want, MessageSource::subscriber);
        CPPUNIT_ASSERT_EQUAL(digest.at("sums"), replies.at(0).at("sums"));
        want["of"] = digest.at("edition");
        deliver(cache, want, MessageSource::subscriber);
        CPPUNIT_ASSERT(!replies.at(0).at("set").empty());
        deliver(cache, message("digest_of_prompter"), MessageSource::controlNode);  // a higher configuration
        CPPUNIT_ASSERT_EQUAL(32, replies.at(0).at("configuration").get<int>());
        deliver(cache, message("digest_of_foyer_with_sums"), MessageSource::subscriber);
        CPPUNIT_ASSERT(replies.empty());  // an earlier edition with the same endpoints: nothing to repair
        deliver(cache, message("digest_back"), MessageSource::peerProxy);
        CPPUNIT_ASSERT_EQUAL(message("digest_back").at("edition"), replies.at(0).at("of"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
        // Consecutive changes, then a repair of a copy that differs.
        auto first = message("pods_whole");
        first["edition"] = {1, 1};
        ConfigurationCache follower({});
        deliver(follower, first, MessageSource::controlNode);
        deliver(follower, message("pods_change_draining"), MessageSource::controlNode);
        CPPUNIT_ASSERT(replies.empty() && follower.endpoints().endpoints().at("i-0").draining);
        CPPUNIT_ASSERT(!follower.endpoints().endpoints().at("i-12").draining);
        deliver(follower, message("pods_change_gone"), MessageSource::controlNode);
        CPPUNIT_ASSERT(replies.empty() && follower.endpoints().hasLeft("i-0"));
        discovery::EndpointEvent aside;
        aside.endpoint.id = "i-99";
        auto held = message("pods_change_gone");
        held["gone"] = Json::array(), held["after"] = {1, 3}, held["edition"] = {1, 4};
        held["set"] = message("pods_change_draining").at("set");
        held["set"][0]["i"] = "i-99", held["set"][0]["d"] = false;
        deliver(follower, held, MessageSource::controlNode);
        CPPUNIT_ASSERT(follower.endpoints().endpoints().contains("i-99"));
        deliver(follower, message("pods_mended_aside"), MessageSource::controlNode);
        CPPUNIT_ASSERT(follower.endpoints().hasLeft("i-3") && !follower.endpoints().hasLeft("i-99"));
        CPPUNIT_ASSERT(!follower.endpoints().endpoints().contains("i-99"));
    }

    // The holder of the lease for the endpoint list publishes a change as the earlier version did.
    void listChanges() {
        std::map<std::string, discovery::Endpoint> pods;
        for (const auto& pod : message("pods_whole").at("set")) {
            const auto member = messages::decodeEndpoint(pod);
            pods[member.id] = member;
        }
        const auto change = message("pods_change_draining").at("set");
        const auto leaving = messages::decodeEndpoint(change.at(0));
        const auto joining = messages::decodeEndpoint(change.at(1));
        pods.erase(joining.id), pods[leaving.id] = leaving, pods[leaving.id].draining = false;
        const auto list = [&] {
            std::vector<discovery::Endpoint> all;
            for (const auto& [_, pod] : pods) all.push_back(pod);
            return all;
        };
        ConfigurationCache cache({});
        CPPUNIT_ASSERT(cache.updateEndpoints(list(), 1).is_null());
        pods[leaving.id] = leaving, pods[joining.id] = joining;
        CPPUNIT_ASSERT_EQUAL(message("pods_change_draining"),
                             withConfirmed(cache.updateEndpoints(list(), 1)));
        pods.erase(leaving.id);
        CPPUNIT_ASSERT_EQUAL(message("pods_change_gone"), withConfirmed(cache.updateEndpoints(list(), 1)));
    }

    // All messages between replicas have the fields that they had in the earlier version. Covers a write, the
    // founding and a change of members.
    void replicasKeepMessageFields() {
        replica_fixture::Cluster cluster(4, 4);
        std::set<std::string> kinds;
        std::vector<Json> all;
        for (auto& node : cluster.nodes)
            node->onDelivered = [&](const PeerConnection&, const Json& json) {
                const auto kind = json.at("t").get<std::string>();
                if (kind == "hello") return;  // its kind and name are set by the host process
                kinds.insert(kind), all.push_back(json);
            };
        cluster.until("contact", [&] { return cluster.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("value"), cluster.write(0, "value"));
        cluster.nodes[1]->kill();
        cluster.until("another node is a member in its place",
                      [&] { return cluster.replica(3).isVotingMember(); });
        cluster.until("messages of all kinds were seen", [&] { return kinds.size() == 6; });
        for (const auto& json : all) checkFields(json);
        CPPUNIT_ASSERT(kinds == (std::set<std::string>{"learn", "ping", "pong", "reg", "reply", "standing"}));
    }

    // The control node's program exchanges messages with proxies and control nodes of the earlier version.
    void controlNodeInteroperates() {
        const int internalPort = freePort();
        const int firstPort = freePort();
        const std::string ip = "127.0.5.1";
        const std::string other = "127.0.5.2";
        asio::io_context io{1};
        auto otherProxyHello = message("hello_of_foyer");
        auto controlNodeHello = message("hello_of_prompter");
        otherProxyHello["name"] = "f2";
        controlNodeHello["at"] = controlNodeHello["about"]["at"] = at(other, internalPort),
        controlNodeHello["members"] = {at(other, internalPort)};
        // An epoch below that of the program, so that its members are not adopted.
        controlNodeHello["standing"]["epoch"]["number"] = 0;
        FakePeer proxy(message("hello_of_foyer"));
        FakePeer otherProxy(otherProxyHello);
        FakePeer controlNode(controlNodeHello);
        tcp::acceptor acceptor(listen(io, at(other, internalPort)));
        spawn(io, "links", servePeerConnections(io, acceptor, controlNode.owner));
        const Program program("prompter", settings("c1", ip, ip, internalPort, firstPort),
                              scratch_ + "/settings");
        std::vector<std::shared_ptr<Dialer>> dialers;
        for (auto* peer : {&proxy, &otherProxy}) {
            dialers.push_back(std::make_shared<Dialer>(io, at(ip, internalPort), peer->owner));
            dialers.back()->start();
        }
        until(io, "both proxies have a hello and are in the roster", [&] {
            return proxy.find("hello") && proxy.find("digest") &&
                   proxy.find("roster", [](const Json& json) { return json.at("foyers").size() == 2; });
        });
        const auto rpc = [&](const std::string& call, const std::string& body) {
            std::string answer;
            until(io, call.c_str(), [&] { return !(answer = ask(at(ip, firstPort), call, body)).empty(); });
            return answer;
        };
        const auto status = [&] { return Json::parse(rpc("status", "")); };
        until(io, "it has quorum contact", [&] { return status().at("register").at("contact").get<bool>(); });
        rpc("config.replace", admin::body(bytesOf("values/configuration.bin")));
        rpc("rollouts.begin", R"({"service_name":"s","target_version":"v2","deadline":"3600s"})");
        until(io, "the proxy has received the digest and the rollouts", [&] {
            return proxy.find("digest", [](const Json& json) { return json.at("configuration") == 20; }) &&
                   proxy.find("rollouts");
        });
        proxy.sendFixture("want_configuration");
        until(io, "the configuration is received", [&] { return proxy.find("configuration"); });
        CPPUNIT_ASSERT_EQUAL(message("configuration"), *proxy.find("configuration"));
        proxy.sendFixture("want_rollouts"), proxy.sendFixture("ack"), proxy.sendFixture("lost"),
            proxy.sendFixture("vote_1");
        until(io, "the rollouts are received again", [&] {
            return std::count_if(proxy.received.begin(), proxy.received.end(),
                                 [](const Json& json) { return json.at("t") == "rollouts"; }) > 1;
        });
        until(io, "acknowledgement, peer loss and vote are in the status", [&] {
            const auto json = status();
            return json.at("foyers").at("f1").at("configuration") == "00000010" &&
                   json.at("foyers").at("f2").at("missed_by") == 1 && json.at("votes").size() == 1 &&
                   json.at("votes").at(0) == message("vote_1");
        });
        proxy.sendFixture("digest_of_foyer_with_sums");
        // Connect as another control node.
        dialers.push_back(std::make_shared<Dialer>(io, at(ip, internalPort), controlNode.owner));
        dialers.back()->start();
        until(io, "hello, ping and known are received", [&] {
            return controlNode.find("hello") && controlNode.find("ping") && controlNode.find("known");
        });
        const auto send = [&](Json json) {
            if (const auto link = dialers.back()->connection()) link->send(json);
        };
        auto ping = message("ping_whole");
        auto known = message("known_with_ages");
        ping["at"] = ping["about"]["at"] = at(other, internalPort);
        send(ping);
        until(io, "the pong is received", [&] { return controlNode.find("pong"); });
        CPPUNIT_ASSERT_EQUAL(ping.at("sent"), controlNode.find("pong")->at("sent"));
        CPPUNIT_ASSERT_EQUAL(ping.at("disk"), controlNode.find("pong")->at("of"));
        known["ages"] = {{"s\nv2\n3600000", 500'000, 0, 500'000}};
        send(known);
        until(io, "the rollout's age is adopted", [&] {
            return controlNode.find("known", [](const Json& json) {
                return !json.at("ages").empty() && json.at("ages").at(0).at(1).get<int>() >= 500'000;
            });
        });
        CPPUNIT_ASSERT_EQUAL(
            proposerOf(at(ip, internalPort)),
            messages::decodeProposalNumber(controlNode.find("known")->at("ballots").at("rollouts")).proposer);
        CPPUNIT_ASSERT(status().at("register").at("contact").get<bool>());
    }

    // The proxy's program exchanges messages with control nodes and proxies of the earlier version.
    void proxyInteroperates() {
        const int internalPort = freePort();
        const int firstPort = freePort();
        const std::string ip = "127.0.6.2";
        const std::string controlNodeIp = "127.0.6.1";
        const std::string proxyIp = "127.0.6.3";
        asio::io_context io{1};
        auto controlNodeHello = message("hello_of_prompter");
        auto proxyHello = message("hello_of_foyer");
        controlNodeHello["at"] = at(controlNodeIp, internalPort),
        controlNodeHello["members"] = {at(controlNodeIp, internalPort)};
        proxyHello["name"] = "f9", proxyHello["at"] = at(proxyIp, internalPort);
        FakePeer controlNode(controlNodeHello);
        FakePeer proxy(proxyHello);
        tcp::acceptor controlNodeAcceptor(listen(io, at(controlNodeIp, internalPort)));
        tcp::acceptor proxyAcceptor(listen(io, at(proxyIp, internalPort)));
        spawn(io, "links", servePeerConnections(io, controlNodeAcceptor, controlNode.owner));
        spawn(io, "links", servePeerConnections(io, proxyAcceptor, proxy.owner));
        const Program program("foyer", settings("e1", ip, controlNodeIp, internalPort, firstPort),
                              scratch_ + "/settings");
        until(io, "the hello is received", [&] { return controlNode.find("hello"); });
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), controlNode.find("hello")->at("name").get<std::string>());
        controlNode.sendFixture("heartbeat"), controlNode.sendFixture("digest_of_prompter_with_sums");
        until(io, "it requests data", [&] { return controlNode.find("want"); });
        CPPUNIT_ASSERT_EQUAL(20, controlNode.find("want")->at("configuration").get<int>());
        CPPUNIT_ASSERT(controlNode.find("want")->at("rollouts").get<bool>());
        for (const auto* name : {"configuration", "rollouts", "pods_whole"}) controlNode.sendFixture(name);
        until(io, "it has the configuration", [&] {
            return controlNode.find("ack", [](const Json& json) { return json.at("configuration") == 20; });
        });
        auto roster = message("roster");
        roster["foyers"] = {{"f9", at(proxyIp, internalPort)}};
        controlNode.helloLink->send(roster);
        until(io, "it votes and sends hello, digest and counts to the other proxy", [&] {
            return controlNode.find("vote") && proxy.find("hello") && proxy.find("digest") &&
                   proxy.find("counts");
        });
        CPPUNIT_ASSERT_EQUAL(std::string("t\nv2"), proxy.find("counts")->at("rollout").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(message("digest_of_prompter_with_sums").at("sums"),
                             proxy.find("digest")->at("sums"));
        auto counts = message("counts");
        counts["from"] = "f9", counts["rollout"] = "t\nv2";
        proxy.helloLink->send(counts);
        until(io, "it votes by the totals of both proxies", [&] {
            return controlNode.find("vote", [](const Json& json) {
                return json.at("earlier") == 10 && json.at("service") == "t" && json.at("target") == "v2";
            });
        });
        ErrorCode ignored;
        proxyAcceptor.close(ignored);
        proxy.helloLink->close();
        until(io, "it reports the lost peer", [&] { return controlNode.find("lost"); });
        CPPUNIT_ASSERT_EQUAL(std::string("f9"), controlNode.find("lost")->at("name").get<std::string>());
    }

  private:
    // Calls the admin API. Returns the body, or "" unless the status is 200.
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
