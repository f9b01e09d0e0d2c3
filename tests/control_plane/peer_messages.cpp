// The JSON encoding of the messages between replicas, which is the wire protocol.
#include "control_plane/peer_messages.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

#include "transport/compression.hpp"

using namespace lichenlanding;
using namespace lichenlanding::control_plane;

namespace {

const consensus::Epoch kEpochOne{1, {{"a:1", "d-a", "z1", "r"}}};
const consensus::Epoch kEpochTwo{2, {{"b:1", "d-b", "z2", "r"}}};
const Json kEpochOneJson =
    Json::parse(R"({"number":1,"members":[{"address":"a:1","disk":"d-a","zone":"z1","region":"r"}]})");
const Json kEpochTwoJson =
    Json::parse(R"({"number":2,"members":[{"address":"b:1","disk":"d-b","zone":"z2","region":"r"}]})");
const Json kStatusJson = Json::parse(
    R"({"at":"a:1","disk":"d-a","zone":"z1","region":"r","eligible":true,"leaving":false,"epoch":1,
        "seated":true,"writes":7,"held":{"configuration":[3,9]}})");

PeerStatus status() {
    return {{"a:1", "d-a", "z1", "r"}, true, false, true, 1, 7, {{"configuration", {3, 9}}}};
}

// Messages recorded from the previous version; see tests/fixtures/previous_version/README.md.
std::vector<Json> messagesOfPreviousVersion() {
    std::vector<Json> messages;
    std::ifstream file(std::string(FIXTURES) + "/previous_version/messages.txt");
    for (std::string name, hex; file >> name >> hex;) {
        std::string frame;
        for (std::size_t at = 0; at + 1 < hex.size(); at += 2)
            frame += static_cast<char>(std::stoi(hex.substr(at, 2), nullptr, 16));
        messages.push_back(Json::from_cbor(transport::decompress(frame)));
    }
    return messages;
}

// Decodes and encodes a message. Null if it is not a message between replicas.
Json reencoded(const Json& message) {
    switch (typeOf(message)) {
        case PeerMessageType::request:
            return encode(decodeRequestMessage(message));
        case PeerMessageType::reply:
            return encode(decodeReplyMessage(message));
        case PeerMessageType::learn:
            return encode(decodeLearnMessage(message));
        case PeerMessageType::ping:
            return encode(decodePing(message));
        case PeerMessageType::pong:
            return encode(decodePong(message));
        case PeerMessageType::epochNotice:
            return encode(decodeEpochNotice(message));
        default:
            return nullptr;
    }
}

}  // namespace

class PeerMessagesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerMessagesTest);
    CPPUNIT_TEST(encodesPings);
    CPPUNIT_TEST(encodesPongs);
    CPPUNIT_TEST(encodesEpochNotices);
    CPPUNIT_TEST(encodesRequestsAndReplies);
    CPPUNIT_TEST(encodesLearnAndKnownMessages);
    CPPUNIT_TEST(encodesHellos);
    CPPUNIT_TEST(recognizesTypes);
    CPPUNIT_TEST(rejectsMissingFields);
    CPPUNIT_TEST(reencodesMessagesOfPreviousVersion);
    CPPUNIT_TEST_SUITE_END();

  public:
    void encodesPings() {
        Ping ping{5, "a:1", 1, "d-a", std::nullopt};
        auto expected = Json::parse(R"({"t":"ping","sent":5,"at":"a:1","epoch":1,"disk":"d-a"})");
        CPPUNIT_ASSERT_EQUAL(expected, encode(ping));
        CPPUNIT_ASSERT(!decodePing(expected).status);
        ping.status = status();
        expected["about"] = kStatusJson;
        CPPUNIT_ASSERT_EQUAL(expected, encode(ping));
        const auto decoded = decodePing(expected);
        CPPUNIT_ASSERT(decoded.status == status());
        CPPUNIT_ASSERT_EQUAL(expected, encode(decoded));
    }

    void encodesPongs() {
        const Pong pong{5, "a:1", 1, "d-a", true, "d-b", 8, {{"rollouts", {2, 4}}}};
        const auto expected = Json::parse(
            R"({"t":"pong","sent":5,"at":"a:1","epoch":1,"disk":"d-a","seated":true,"of":"d-b","seen":8,
                "held":{"rollouts":[2,4]}})");
        CPPUNIT_ASSERT_EQUAL(expected, encode(pong));
        CPPUNIT_ASSERT_EQUAL(expected, encode(decodePong(expected)));
        // Without accepted values the field is an empty object.
        CPPUNIT_ASSERT_EQUAL(Json::object(), encode(Pong{}).at("held"));
    }

    void encodesEpochNotices() {
        EpochNotice notice{kEpochOne, std::nullopt};
        Json expected{{"t", "standing"}, {"epoch", kEpochOneJson}};
        CPPUNIT_ASSERT_EQUAL(expected, encode(notice));
        CPPUNIT_ASSERT(!decodeEpochNotice(expected).reconfiguration);
        notice.reconfiguration = {kEpochOne, kEpochTwo};
        expected["from"] = kEpochOneJson;
        expected["to"] = kEpochTwoJson;
        CPPUNIT_ASSERT_EQUAL(expected, encode(notice));
        const auto decoded = decodeEpochNotice(expected);
        CPPUNIT_ASSERT(decoded.epoch == kEpochOne);
        CPPUNIT_ASSERT(decoded.reconfiguration == notice.reconfiguration);
    }

    // The stage of a proposal is its step. That of a reconfiguration also has a key and the proposal's step.
    void encodesRequestsAndReplies() {
        RequestMessage request;
        request.id = 6;
        request.stage.step = 1;
        request.request.kind = consensus::Request::Kind::prepare;
        request.request.epoch = 1;
        request.request.key = "duties";
        request.request.proposalNumber = {4, 2};
        auto expected = Json::parse(
            R"({"t":"reg","id":6,"about":[1],
                "request":{"kind":1,"epoch":1,"key":"duties","ballot":[4,2]}})");
        CPPUNIT_ASSERT_EQUAL(expected, encode(request));
        CPPUNIT_ASSERT_EQUAL(expected, encode(decodeRequestMessage(expected)));
        request.stage = {1, "duties", 2};
        expected["about"] = Json::parse(R"([1,"duties",2])");
        CPPUNIT_ASSERT_EQUAL(expected, encode(request));
        CPPUNIT_ASSERT_EQUAL(expected, encode(decodeRequestMessage(expected)));

        ReplyMessage reply;
        reply.id = 6;
        reply.stage = {0, "", 0};
        reply.reply.accepted = true;
        reply.reply.epoch = 1;
        reply.reply.writeCount = 3;
        const auto encoded = encode(reply);
        CPPUNIT_ASSERT_EQUAL(Json("reply"), encoded.at("t"));
        CPPUNIT_ASSERT_EQUAL(Json::parse(R"([0,"",0])"), encoded.at("about"));
        CPPUNIT_ASSERT_EQUAL(Json(true), encoded.at("reply").at("taken"));
        CPPUNIT_ASSERT_EQUAL(Json(false), encoded.at("reply").at("refused"));
        CPPUNIT_ASSERT_EQUAL(Json(3), encoded.at("reply").at("writes"));
        CPPUNIT_ASSERT_EQUAL(encoded, encode(decodeReplyMessage(encoded)));
    }

    void encodesLearnAndKnownMessages() {
        const auto learn = Json::parse(R"({"t":"learn","key":"duties","ballot":[4,2]})");
        CPPUNIT_ASSERT_EQUAL(learn, encode(LearnMessage{"duties", {4, 2}}));
        CPPUNIT_ASSERT_EQUAL(learn, encode(decodeLearnMessage(learn)));
        const auto known = decodeKnownMessage(Json::parse(R"({"t":"known","ballots":{"duties":[4,2]}})"));
        CPPUNIT_ASSERT(known == AcceptedNumbers({{"duties", {4, 2}}}));
    }

    void encodesHellos() {
        const ReplicaHello hello{{"a:1", "b:1"}, true, false, status(), {kEpochOne, std::nullopt}};
        const Json expected{{"members", {"a:1", "b:1"}},
                            {"formed", true},
                            {"sure", false},
                            {"about", kStatusJson},
                            {"standing", {{"t", "standing"}, {"epoch", kEpochOneJson}}}};
        CPPUNIT_ASSERT_EQUAL(expected, encode(hello));
        CPPUNIT_ASSERT(decodeHelloStatus(expected) == status());
        CPPUNIT_ASSERT(decodeHelloNotice(expected).epoch == kEpochOne);
    }

    void recognizesTypes() {
        const std::map<std::string, PeerMessageType> types{{"reg", PeerMessageType::request},
                                                           {"reply", PeerMessageType::reply},
                                                           {"learn", PeerMessageType::learn},
                                                           {"known", PeerMessageType::known},
                                                           {"ping", PeerMessageType::ping},
                                                           {"pong", PeerMessageType::pong},
                                                           {"standing", PeerMessageType::epochNotice},
                                                           {"configuration", PeerMessageType::other}};
        for (const auto& [name, type] : types) CPPUNIT_ASSERT(typeOf(Json{{"t", name}}) == type);
        CPPUNIT_ASSERT_THROW(typeOf(Json::object()), Json::exception);
    }

    void rejectsMissingFields() {
        const std::vector<Json> complete{encode(Ping{5, "a:1", 1, "d-a", status()}), encode(Pong{}),
                                         encode(EpochNotice{kEpochOne, {{kEpochOne, kEpochTwo}}})};
        for (const auto& message : complete)
            for (const auto& [field, _] : message.items()) {
                if (field == "t" || field == "about" || field == "to") continue;  // not decoded, or optional
                auto incomplete = message;
                incomplete.erase(field);
                const auto decode = [&] {
                    const auto type = typeOf(incomplete);
                    if (type == PeerMessageType::ping) decodePing(incomplete);
                    else if (type == PeerMessageType::pong) decodePong(incomplete);
                    else decodeEpochNotice(incomplete);
                };
                CPPUNIT_ASSERT_THROW_MESSAGE(field, decode(), Json::exception);
            }
    }

    // Decoding and encoding recorded messages must not change any field.
    void reencodesMessagesOfPreviousVersion() {
        std::set<PeerMessageType> seen;
        int hellos = 0;
        for (const auto& message : messagesOfPreviousVersion()) {
            if (!message.is_object()) continue;
            const auto reencodedMessage = reencoded(message);
            if (!reencodedMessage.is_null()) {
                CPPUNIT_ASSERT_EQUAL(message, reencodedMessage);
                seen.insert(typeOf(message));
            }
            if (message.at("t") != "hello" || !message.contains("standing")) continue;
            const ReplicaHello hello{
                {}, false, false, decodeHelloStatus(message), decodeHelloNotice(message)};
            CPPUNIT_ASSERT_EQUAL(message.at("about"), encode(hello).at("about"));
            CPPUNIT_ASSERT_EQUAL(message.at("standing"), encode(hello).at("standing"));
            ++hellos;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), seen.size());
        CPPUNIT_ASSERT(hellos > 0);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerMessagesTest);
