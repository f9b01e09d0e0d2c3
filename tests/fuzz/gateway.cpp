// libFuzzer's way into what the gateway reads from outside: configurations, settings, the platform's list,
// peers' messages, compressed bytes, rollouts, and HTTP heads and bodies as the HTTP server reads them. What
// is refused is refused by an exception of the reader's own kind; what is read survives being written and
// read again.
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

void insist(bool holds) {
    if (!holds) std::abort();
}

void configuration(std::string_view bytes) {
    try {
        const auto read = config::Configuration::parse(bytes);
        for (const auto& route : read.routes) {
            insist(read.findRoute(route.host, route.prefix + "x") != nullptr ||
                   route.host.find(':') != std::string::npos);
            insist(route.totalWeight > 0 && !route.shares.empty());
            for (std::int64_t at : {std::int64_t{0}, route.totalWeight - 1})
                insist(std::any_of(route.shares.begin(), route.shares.end(), [&](const auto& share) {
                    return share.service == route.serviceForDraw(at);
                }));
        }
    } catch (const config::ValidationError& refusal) {
        insist(!refusal.errors.empty());
    }
}

void settings(std::string_view bytes) {
    try {
        insist(!config::BootstrapSettings::parse(bytes).internalPorts.empty());
    } catch (const std::runtime_error&) {
    }
}

void message(std::string_view bytes) {
    Json json;
    try {
        json = Json::from_cbor(bytes, true, false);
    } catch (const Json::exception&) {  // absurd sizes, even so; links expect it
        return;
    }
    if (json.is_discarded()) return;
    try {
        const auto totals = messages::decodeTotals(json);
        insist(messages::encode(messages::decodeTotals(messages::encode(totals))) ==
               messages::encode(totals));
    } catch (const Json::exception&) {
    }
    try {
        const auto cell = messages::decodeRegisterState(json);
        insist(messages::decodeRegisterState(messages::encode(cell)) == cell);
    } catch (const Json::exception&) {
    }
}

void list(std::string_view bytes) {
    const auto json = Json::parse(bytes, nullptr, false);
    if (json.is_discarded()) return;
    try {
        const auto member = messages::decodePlatformEntry(json);
        insist(messages::decodeEndpoint(messages::encode(member)) == member);
    } catch (const std::exception&) {
    }
}

void rollouts(std::string_view bytes) {
    try {
        const auto read = messages::decodeRollouts(std::string(bytes));
        insist(messages::decodeRollouts(messages::encode(read)).size() == read.size());
    } catch (const Json::exception&) {
    }
}

// News in any order: nothing goes back, and what one copy holds another can be mended to.
void news(std::string_view bytes) {
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
        } catch (const Json::exception&) {  // a link ends there
        }
        insist(cache.version() >= version);
        version = cache.version();
        for (const auto& [id, _] : cache.endpoints().endpoints()) insist(!cache.endpoints().hasLeft(id));
    }
    ConfigurationCache other{{}};
    std::vector<Json> wants;
    other.handleMessage(cache.digestMessage(), ConfigurationCache::MessageSource::controlNode, now,
                        [&](Json want) { wants.push_back(want); });
    for (const auto& want : wants)
        cache.handleMessage(want, ConfigurationCache::MessageSource::subscriber, now,
                            [&](const Json& answer) {
                                other.handleMessage(answer, ConfigurationCache::MessageSource::controlNode,
                                                    now, [](const Json&) {});
                            });
    insist(other.version() == cache.version());
    if (cache.endpointsCurrent()) insist(other.digestMessage() == cache.digestMessage());
}

void compressed(std::string_view bytes) {
    insist(transport::decompress(transport::compress(bytes)) == bytes);
    try {
        transport::decompress(bytes, 1 << 20);
    } catch (const std::runtime_error&) {
    }
}

// Frames cut from the bytes (each length in two bytes): what is put together was all there; then the bytes
// themselves, made large, there and back, with one frame spoilt on the way.
void pieces(std::string_view bytes) {
    transport::ChunkReassembler in;
    std::size_t given = 0;
    try {
        for (auto left = bytes; left.size() >= 2;) {
            const auto length =
                std::size_t{static_cast<unsigned char>(left[0])} << 8 | static_cast<unsigned char>(left[1]);
            left.remove_prefix(2);
            const auto frame = left.substr(0, length);
            left.remove_prefix(frame.size());
            given += frame.size();
            if (const auto whole = in.addFrame(frame)) insist(whole->size() <= given);
        }
    } catch (const std::runtime_error&) {
    }
    if (bytes.empty()) return;
    std::string large;
    while (large.size() <= transport::kMaxUnchunkedBytes + bytes.size()) large += bytes;
    transport::SendQueue out;
    out.push(std::make_shared<const std::string>(large));
    out.push(std::make_shared<const std::string>(large));
    const auto spoilt = 1 + static_cast<unsigned char>(bytes.front()) % 2;
    transport::ChunkReassembler back;
    std::optional<std::string> first;
    try {
        for (int frames = 0; !out.empty(); ++frames) {
            auto frame = *out.next();
            if (first && frames % 3 == spoilt) frame[frame.size() - 1] ^= 1;
            const auto whole = back.addFrame(frame);
            if (whole && !first) insist(*whole == large);
            insist(!whole || !first || *whole == large);
            if (whole) first = whole;
        }
    } catch (const std::runtime_error&) {
        insist(first.has_value());  // only what was spoilt is refused
    }
}

void orders(std::string_view bytes) {
    try {
        const std::string value(bytes);
        const auto held = admin::decodeRecord(value);
        const auto written = admin::encodeRecord(held);
        insist(admin::encodeRecord(admin::decodeRecord(written)) == written);
        insist(admin::version(value) == held.version && admin::compressed(value) == held.compressed);
        if (value.starts_with("o1")) insist(written == value);
        const auto order = admin::makeRequest(held.version + 1, "body");
        if (held.version < std::numeric_limits<std::uint32_t>::max()) {
            const auto after = admin::applyRequest(value, order);
            insist(admin::checkDuplicate(after, order) != admin::DuplicateCheck::unknown);
            insist(admin::applyRequest(after, order) == after);
        }
    } catch (const admin::ParseError&) {
    }
}

void duties(std::string_view bytes) {
    try {
        const auto read = leases::decodeLeases(std::string(bytes));
        insist(leases::decodeLeases(leases::encodeLeases(read)) == read);
        const leases::ProcessIdentity self{"10.1.0.1:7720", 7};
        for (const auto& [name, duty] : read) {
            if (duty.term > std::uint64_t{1} << 62) continue;
            const auto taken =
                leases::decodeLeases(leases::acquireLease(name, self, duty.term)(std::string(bytes)));
            insist(leases::isHeldBy(taken.at(name), self) && taken.at(name).term == duty.term + 1);
            insist(taken.size() == read.size());
            if (duty.term > 0)
                insist(leases::decodeLeases(
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
    // Two lengths at once are never read: one of them would be a smuggler's.
    insist(!parser.get().chunked() || parser.get().count(http::field::content_length) <= 0);
    insist(parser.get().body().size() <= 4096);
}

// What members of the register ask of each other: seals, transfers, epochs in greetings. What is read is a
// request that a copy can weigh, and is written and read the same again.
void epochs(std::string_view bytes) {
    Json json;
    try {
        json = Json::from_cbor(bytes, true, false);
    } catch (const Json::exception&) {
        return;
    }
    if (json.is_discarded()) return;
    consensus::Acceptor copy("a", "1");
    copy.apply({{}, consensus::EpochState{{1, {{"a", "1", "", ""}}}, true, {}, {}}});
    try {
        const auto request = membership::decodeRequest(json);
        insist(membership::encode(membership::decodeRequest(membership::encode(request))) ==
               membership::encode(request));
        std::optional<consensus::Update> update;
        const auto reply = copy.evaluate(request, update);
        if (update) copy.apply(*update);
        insist(membership::encode(membership::decodeReply(membership::encode(reply))) ==
               membership::encode(reply));
    } catch (const Json::exception&) {
    }
    try {
        const auto standing = membership::decodeEpochState(json);
        insist(membership::decodeEpochState(membership::encode(standing)) == standing);
    } catch (const Json::exception&) {
    }
    try {
        const auto reply = membership::decodeReply(json);
        insist(membership::encode(membership::decodeReply(membership::encode(reply))) ==
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
            list(bytes);
            break;
        case 4:
            rollouts(bytes);
            break;
        case 5:
            compressed(bytes);
            break;
        case 6:
            request(bytes);
            break;
        case 7:
            news(bytes);
            break;
        case 8:
            pieces(bytes);
            break;
        case 9:
            duties(bytes);
            break;
        case 11:
            epochs(bytes);
            break;
        default:
            orders(bytes);
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
    std::string cell;
    Json::to_cbor(messages::encode(consensus::RegisterState{{3, 1}, {2, 9}, "value"}), cell);
    subscription::ConfigurationCache cache{{}};
    cache.setConfiguration(7, "seven");
    cache.setRollouts(3, "[]");
    Json told = Json::array();
    const auto pod = [](const char* id, bool draining) {
        return discovery::Endpoint{id, "s", "1.1.1.1:1", "z", "v1", 2, draining, 0};
    };
    told.push_back(cache.updateEndpoints({pod("i-1", false), pod("i-2", true)}, 1));
    told.push_back(cache.digestMessage());
    told.push_back({{"t", "configuration"}, {"version", 7}, {"squeezed", messages::encodeBytes("seven")}});
    told.push_back(cache.rolloutsMessage());
    told.push_back(cache.updateEndpoints({pod("i-2", true), pod("i-3", false)}, 1));
    std::string heard;
    Json::to_cbor(told, heard);
    messages::Rollout order;
    order.service = "s", order.target = "v2";
    const consensus::Epoch one{1, {{"a", "1", "z", "r"}, {"b", "2", "z", "r"}}};
    const consensus::Epoch two{2, {{"a", "1", "z", "r"}}};
    const auto packed = [&](const Json& message) {
        std::string bytes;
        Json::to_cbor(message, bytes);
        return seed(11, bytes);
    };
    consensus::Request seal;
    consensus::Request accept;
    seal.kind = consensus::Request::Kind::seal, seal.epoch = 1, seal.predecessor = one, seal.successor = two;
    seal.knownNumbers["k"] = {3, 4};
    accept.kind = consensus::Request::Kind::accept, accept.epoch = 1, accept.key = "k",
    accept.proposalNumber = {3, 4};
    accept.value = "value";
    consensus::Reply sealed;
    sealed.accepted = true, sealed.states["k"] = {{3, 4}, {2, 1}, "value"};
    const std::vector<std::string> seeds{
        packed(membership::encode(seal)),
        packed(membership::encode(accept)),
        packed(membership::encode(sealed)),
        packed(membership::encode(consensus::EpochState{one, true, two, {}})),
        seed(
            0,
            R"({"config_version":"0000000c","resources":[{"resource_type":"route_table","metadata":{"name":"r"},"spec":{"hostname":"h","path_prefix":"/p/","route_class":"idempotent","timeout":"1s","target_latency":"1s","traffic_split":[{"service_name":"s","weight":3}]}},{"resource_type":"service_table","metadata":{"name":"s"},"spec":{}}]})"),
        seed(
            1,
            R"({"node_name":"n","ip_address":"1.1.1.1","zone":"z","internal_ports":[1],"seed_nodes":[],"cloud_api":{"address":"a"},"bounds":["drain=2s"]})"),
        seed(2, cbor),
        seed(2, cell),
        seed(
            3,
            R"({"service_name":"s","address":"1.1.1.1:1","zone":"z","config_version":"v1","capacity_slots":2,"state":"ready","warmup_left":"10ms","instance_id":"i"})"),
        seed(4, messages::encode(std::vector{order})),
        seed(7, heard),
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
