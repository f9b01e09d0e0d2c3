// Fuzz target for everything that the gateway parses from outside: configurations, settings, the cloud API's
// instance list, peer messages, compressed bytes, rollouts, and HTTP requests as the HTTP server reads them.
// Invalid input must be rejected with the parser's documented exception; valid input must survive encoding
// and decoding. The first byte selects the parser.
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdlib>

#include "admin/configuration_record.hpp"
#include "config/bootstrap_settings.hpp"
#include "config/configuration.hpp"
#include "leases/leases.hpp"
#include "membership/codec.hpp"
#include "messages/codec.hpp"
#include "seeded.hpp"
#include "subscription/configuration_cache.hpp"
#include "transport/chunks.hpp"
#include "transport/compression.hpp"

using namespace lichenlanding;
using Json = nlohmann::json;

namespace {

void require(bool condition) {
    if (!condition) std::abort();
}

void configuration(std::string_view bytes) {
    try {
        const auto read = config::Configuration::parse(bytes);
        for (const auto& route : read.routes) {
            require(read.findRoute(route.host, route.prefix + "x") != nullptr ||
                    route.host.find(':') != std::string::npos);
            require(route.totalWeight > 0 && !route.shares.empty());
            for (std::int64_t at : {std::int64_t{0}, route.totalWeight - 1})
                require(std::any_of(route.shares.begin(), route.shares.end(), [&](const auto& share) {
                    return share.service == route.serviceForDraw(at);
                }));
        }
    } catch (const config::ValidationError& refusal) {
        require(!refusal.errors.empty());
    }
}

void settings(std::string_view bytes) {
    try {
        require(!config::BootstrapSettings::parse(bytes).internalPorts.empty());
    } catch (const std::runtime_error&) {
    }
}

void message(std::string_view bytes) {
    Json json;
    try {
        json = Json::from_cbor(bytes, true, false);
    } catch (const Json::exception&) {  // thrown for absurd sizes despite `allow_exceptions` off
        return;
    }
    if (json.is_discarded()) return;
    try {
        const auto totals = messages::decodeTotals(json);
        require(messages::encode(messages::decodeTotals(messages::encode(totals))) ==
                messages::encode(totals));
    } catch (const Json::exception&) {
    }
    try {
        const auto cell = messages::decodeRegisterState(json);
        require(messages::decodeRegisterState(messages::encode(cell)) == cell);
    } catch (const Json::exception&) {
    }
}

void platformEntry(std::string_view bytes) {
    const auto json = Json::parse(bytes, nullptr, false);
    if (json.is_discarded()) return;
    try {
        const auto member = messages::decodePlatformEntry(json);
        require(messages::decodeEndpoint(messages::encode(member)) == member);
    } catch (const std::exception&) {
    }
}

void rollouts(std::string_view bytes) {
    try {
        const auto read = messages::decodeRollouts(std::string(bytes));
        require(messages::decodeRollouts(messages::encode(read)).size() == read.size());
    } catch (const Json::exception&) {
    }
}

// Updates in any order: versions never decrease, endpoints that left never return, and a second cache can be
// synchronized to the same state.
void cacheUpdates(std::string_view bytes) {
    using subscription::ConfigurationCache;
    Json messages;
    try {
        messages = Json::from_cbor(bytes, true, false);
    } catch (const Json::exception&) {
        return;
    }
    if (!messages.is_array()) return;
    ConfigurationCache cache{{}};
    std::uint32_t version = 0;
    Nanos now = 1'000'000'000;
    for (const auto& message : messages) {
        try {
            if (message.is_object())
                cache.handleMessage(message, ConfigurationCache::MessageSource::controlNode,
                                    now += 1'000'000'000, [](const Json&) {});
        } catch (const Json::exception&) {  // the connection would be closed here
        }
        require(cache.version() >= version);
        version = cache.version();
        for (const auto& [id, _] : cache.endpoints().endpoints()) require(!cache.endpoints().hasLeft(id));
    }
    ConfigurationCache other{{}};
    std::vector<Json> fetchRequests;
    other.handleMessage(cache.digestMessage(), ConfigurationCache::MessageSource::controlNode, now,
                        [&](Json fetchRequest) { fetchRequests.push_back(fetchRequest); });
    for (const auto& fetchRequest : fetchRequests)
        cache.handleMessage(fetchRequest, ConfigurationCache::MessageSource::subscriber, now,
                            [&](const Json& answer) {
                                other.handleMessage(answer, ConfigurationCache::MessageSource::controlNode,
                                                    now, [](const Json&) {});
                            });
    require(other.version() == cache.version());
    if (cache.endpointsCurrent()) require(other.digestMessage() == cache.digestMessage());
}

void compression(std::string_view bytes) {
    require(transport::decompress(transport::compress(bytes)) == bytes);
    try {
        transport::decompress(bytes, 1 << 20);
    } catch (const std::runtime_error&) {
    }
}

// Reassembles frames taken from the input (each with a two-byte length): a message is never larger than its
// frames. Then sends a large message made of the input twice and corrupts a frame of the second: the first
// must arrive, the second must be rejected or arrive whole.
void chunks(std::string_view bytes) {
    transport::ChunkReassembler in;
    std::size_t inputBytes = 0;
    try {
        for (auto left = bytes; left.size() >= 2;) {
            const auto length =
                std::size_t{static_cast<unsigned char>(left[0])} << 8 | static_cast<unsigned char>(left[1]);
            left.remove_prefix(2);
            const auto frame = left.substr(0, length);
            left.remove_prefix(frame.size());
            inputBytes += frame.size();
            if (const auto whole = in.addFrame(frame)) require(whole->size() <= inputBytes);
        }
    } catch (const std::runtime_error&) {
    }
    if (bytes.empty()) return;
    std::string large;
    while (large.size() <= transport::kMaxUnchunkedBytes + bytes.size()) large += bytes;
    transport::SendQueue out;
    out.push(std::make_shared<const std::string>(large));
    out.push(std::make_shared<const std::string>(large));
    const auto corruptedFrame = 1 + static_cast<unsigned char>(bytes.front()) % 2;
    transport::ChunkReassembler reassembler;
    std::optional<std::string> first;
    try {
        for (int frames = 0; !out.empty(); ++frames) {
            auto frame = *out.next();
            if (first && frames % 3 == corruptedFrame) frame[frame.size() - 1] ^= 1;
            const auto whole = reassembler.addFrame(frame);
            if (whole && !first) require(*whole == large);
            require(!whole || !first || *whole == large);
            if (whole) first = whole;
        }
    } catch (const std::runtime_error&) {
        require(first.has_value());  // only the corrupted message may be rejected
    }
}

void configurationRecord(std::string_view bytes) {
    try {
        const std::string value(bytes);
        const auto record = admin::decodeRecord(value);
        const auto written = admin::encodeRecord(record);
        require(admin::encodeRecord(admin::decodeRecord(written)) == written);
        require(admin::version(value) == record.version && admin::compressed(value) == record.compressed);
        if (value.starts_with("o1")) require(written == value);
        const auto replaceRequest = admin::makeRequest(record.version + 1, "body");
        if (record.version < std::numeric_limits<std::uint32_t>::max()) {
            const auto after = admin::applyRequest(value, replaceRequest);
            require(admin::checkDuplicate(after, replaceRequest) != admin::DuplicateCheck::unknown);
            require(admin::applyRequest(after, replaceRequest) == after);
        }
    } catch (const admin::ParseError&) {
    }
}

void leaseTable(std::string_view bytes) {
    try {
        const auto read = leases::decodeLeases(std::string(bytes));
        require(leases::decodeLeases(leases::encodeLeases(read)) == read);
        const leases::ProcessIdentity self{"10.1.0.1:7720", 7};
        for (const auto& [name, duty] : read) {
            if (duty.term > std::uint64_t{1} << 62) continue;
            const auto acquired =
                leases::decodeLeases(leases::acquireLease(name, self, duty.term)(std::string(bytes)));
            require(leases::isHeldBy(acquired.at(name), self) && acquired.at(name).term == duty.term + 1);
            require(acquired.size() == read.size());
            if (duty.term > 0)
                require(leases::decodeLeases(
                            leases::acquireLease(name, self, duty.term - 1)(std::string(bytes))) == read);
        }
    } catch (const Json::exception&) {
    }
}

void request(std::string_view bytes) {
    namespace http = boost::beast::http;
    http::request_parser<http::string_body> parser;
    parser.header_limit(2048);
    parser.body_limit(4096);
    parser.eager(true);
    boost::system::error_code code;
    parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), code);
    if (code || !parser.is_done()) return;
    // A request with both Transfer-Encoding and Content-Length must be rejected: it allows request smuggling.
    require(!parser.get().chunked() || parser.get().count(http::field::content_length) <= 0);
    require(parser.get().body().size() <= 4096);
}

// Requests and replies between register members, and the epochs in hello messages. A request that decodes
// must be evaluated by an acceptor without failure, and all must survive encoding and decoding.
void membershipMessages(std::string_view bytes) {
    Json json;
    try {
        json = Json::from_cbor(bytes, true, false);
    } catch (const Json::exception&) {
        return;
    }
    if (json.is_discarded()) return;
    consensus::Acceptor acceptor("a", "1");
    acceptor.apply({{}, consensus::EpochState{{1, {{"a", "1", "", ""}}}, true, {}, {}}});
    try {
        const auto request = membership::decodeRequest(json);
        require(membership::encode(membership::decodeRequest(membership::encode(request))) ==
                membership::encode(request));
        std::optional<consensus::Update> update;
        const auto reply = acceptor.evaluate(request, update);
        if (update) acceptor.apply(*update);
        require(membership::encode(membership::decodeReply(membership::encode(reply))) ==
                membership::encode(reply));
    } catch (const Json::exception&) {
    }
    try {
        const auto epochState = membership::decodeEpochState(json);
        require(membership::decodeEpochState(membership::encode(epochState)) == epochState);
    } catch (const Json::exception&) {
    }
    try {
        const auto reply = membership::decodeReply(json);
        require(membership::encode(membership::decodeReply(membership::encode(reply))) ==
                membership::encode(reply));
    } catch (const Json::exception&) {
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    switch (data[0] % 12) {
        case 0:
            configuration(bytes);
            break;
        case 1:
            settings(bytes);
            break;
        case 2:
            message(bytes);
            break;
        case 3:
            platformEntry(bytes);
            break;
        case 4:
            rollouts(bytes);
            break;
        case 5:
            compression(bytes);
            break;
        case 6:
            request(bytes);
            break;
        case 7:
            cacheUpdates(bytes);
            break;
        case 8:
            chunks(bytes);
            break;
        case 9:
            leaseTable(bytes);
            break;
        case 11:
            membershipMessages(bytes);
            break;
        default:
            configurationRecord(bytes);
    }
    return 0;
}

#ifdef LICHENLANDING_SEEDED
int main() {
    const auto seed = [](char kind, const std::string& text) { return std::string(1, kind) + text; };
    verdict::Totals totals;
    totals["r"][0].count(1000, 1000, false);
    std::string cbor;
    Json::to_cbor(messages::encode(totals), cbor);
    std::string registerState;
    Json::to_cbor(messages::encode(consensus::RegisterState{{3, 1}, {2, 9}, "value"}), registerState);
    subscription::ConfigurationCache cache{{}};
    cache.setConfiguration(7, "seven");
    cache.setRollouts(3, "[]");
    Json updates = Json::array();
    const auto pod = [](const char* id, bool draining) {
        return discovery::Endpoint{id, "s", "1.1.1.1:1", "z", "v1", 2, draining, 0};
    };
    updates.push_back(cache.updateEndpoints({pod("i-1", false), pod("i-2", true)}, 1));
    updates.push_back(cache.digestMessage());
    updates.push_back({{"t", "configuration"}, {"version", 7}, {"squeezed", messages::encodeBytes("seven")}});
    updates.push_back(cache.rolloutsMessage());
    updates.push_back(cache.updateEndpoints({pod("i-2", true), pod("i-3", false)}, 1));
    std::string encodedUpdates;
    Json::to_cbor(updates, encodedUpdates);
    messages::Rollout rollout;
    rollout.service = "s", rollout.target = "v2";
    const consensus::Epoch firstEpoch{1, {{"a", "1", "z", "r"}, {"b", "2", "z", "r"}}};
    const consensus::Epoch secondEpoch{2, {{"a", "1", "z", "r"}}};
    const auto membershipSeed = [&](const Json& message) {
        std::string bytes;
        Json::to_cbor(message, bytes);
        return seed(11, bytes);
    };
    consensus::Request seal;
    consensus::Request accept;
    seal.kind = consensus::Request::Kind::seal, seal.epoch = 1, seal.predecessor = firstEpoch,
    seal.successor = secondEpoch;
    seal.knownNumbers["k"] = {3, 4};
    accept.kind = consensus::Request::Kind::accept, accept.epoch = 1, accept.key = "k",
    accept.proposalNumber = {3, 4};
    accept.value = "value";
    consensus::Reply sealed;
    sealed.accepted = true, sealed.states["k"] = {{3, 4}, {2, 1}, "value"};
    const std::vector<std::string> seeds{
        membershipSeed(membership::encode(seal)),
        membershipSeed(membership::encode(accept)),
        membershipSeed(membership::encode(sealed)),
        membershipSeed(membership::encode(consensus::EpochState{firstEpoch, true, secondEpoch, {}})),
        seed(
            0,
            R"({"config_version":"0000000c","resources":[{"resource_type":"route_table","metadata":{"name":"r"},"spec":{"hostname":"h","path_prefix":"/p/","route_class":"idempotent","timeout":"1s","target_latency":"1s","traffic_split":[{"service_name":"s","weight":3}]}},{"resource_type":"service_table","metadata":{"name":"s"},"spec":{}}]})"),
        seed(
            1,
            R"({"node_name":"n","ip_address":"1.1.1.1","zone":"z","internal_ports":[1],"seed_nodes":[],"cloud_api":{"address":"a"},"bounds":["drain=2s"]})"),
        seed(2, cbor),
        seed(2, registerState),
        seed(
            3,
            R"({"service_name":"s","address":"1.1.1.1:1","zone":"z","config_version":"v1","capacity_slots":2,"state":"ready","warmup_left":"10ms","instance_id":"i"})"),
        seed(4, messages::encode(std::vector{rollout})),
        seed(7, encodedUpdates),
        seed(8, std::string("\0\x14k\1\0\0\0\0\0\0\0\1\0\0\0\xc2\x41\x24\x35"
                            "abc",
                            22)),
        seed(10, admin::applyRequest(admin::applyRequest("", admin::makeRequest(3, "three")),
                                     admin::makeRequest(7, "seven"))),
        seed(10, "00000007" + transport::compress("old")),
        seed(9, leases::encodeLeases(
                    {{"list", {"10.1.0.2:7720", 5, 3}}, {"rollouts", {"10.1.0.1:7720", 7, 1}}})),
        seed(5, transport::compress(std::string(3000, 'x') + "yz")),
        seed(6, "POST /p/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"),
        seed(6, "POST /p/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")};
    const std::string_view words[] = {"\"timeout\":\"1s\"",
                                      "[",
                                      "]",
                                      "{",
                                      "}",
                                      "-1",
                                      "18446744073709551616",
                                      "null",
                                      "\r\n",
                                      "Content-Length: 5\r\n",
                                      "Transfer-Encoding: chunked\r\n",
                                      "ffffffffffffffff\r\n",
                                      "\"weight\":0",
                                      "1e400",
                                      "\xf0\x9f\x98\x80"};
    return runSeededMutations(seeds, words, 60'000);
}
#endif
