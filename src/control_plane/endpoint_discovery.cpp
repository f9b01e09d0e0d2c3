#include "control_plane/endpoint_discovery.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "messages/codec.hpp"
#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;
namespace http = boost::beast::http;

namespace {

constexpr Nanos kPollEvery = 500 * kMillisecond, kPollWithin = 700 * kMillisecond,
                kPollPause = 300 * kMillisecond;
constexpr Nanos kCompareEvery = 5 * kSecond;
constexpr Nanos kRefusedPause = 20 * kMillisecond,
                kRefusedAtMost = kSecond;  // doubled from page to page that is refused
constexpr Nanos kOldAfter = 2 * kSecond;   // what has been read of a list, while the rest of it is refused
constexpr double kListPart = 0.7;          // of the platform's calls a second that the list may take
constexpr std::uint64_t kBodyAtMost = 96 << 20;

}  // namespace

// Between two calls, if they are to stay within the platform's rate for all.
Nanos EndpointDiscovery::callGap() const {
    return boot_.platformCallsPerSecond > 0 ? static_cast<Nanos>(1e9 / (boot_.platformCallsPerSecond * kListPart)) : 0;
}

Task<> EndpointDiscovery::run() {
    auto stream = std::make_shared<beast::tcp_stream>(io_);
    beast::flat_buffer buffer;
    bool connected = false, anew = false;
    for (;;) {
        const auto term = term_();
        if (term == 0) {
            cache_.markEndpointsStale();
            co_await sleep(kPollPause / 3);
            continue;
        }
        const Nanos started = now();
        std::vector<discovery::Endpoint> members;
        std::string token;
        bool whole = false;
        int pages = 0;
        const Nanos firstPause = std::max(callGap() * 2, kRefusedPause);
        Nanos pause = firstPause;
        try {
            for (int page = 0; page < 1000; ++page) {
                stream->expires_after(toDuration(kPollWithin));
                if (!connected) {
                    co_await stream->async_connect(parseAddress(boot_.platformAddress), asio::use_awaitable);
                    configureSocket(stream->socket(), 2 * kSecond);
                    connected = true, buffer.clear();
                }
                http::request<http::empty_body> request(
                    http::verb::get, token.empty() ? "/instances" : "/instances?page_token=" + token, 11);
                request.set(http::field::host, boot_.platformAddress);
                co_await http::async_write(*stream, request, asio::use_awaitable);
                http::response_parser<http::string_body> parser;
                parser.body_limit(kBodyAtMost);
                co_await http::async_read(*stream, buffer, parser, asio::use_awaitable);
                const auto& response = parser.get();
                if (!response.keep_alive()) connected = false, stream->close();
                ++pages, ++requests_;
                if (response.result_int() == 429) {
                    ++rateLimited_;  // the same page again, when there is room
                    log("list_refused", {{"step", "platformAddress"}, {"peer", boot_.platformAddress}, {"status", 429}});
                    co_await sleep(pause);
                    pause = std::max(firstPause, std::min(pause * 2, kRefusedAtMost));
                    if (term_() != term) break;  // the duty has gone, or was had anew
                    // Pods have come and gone since the first page. Once: an old list is better than none.
                    if (!anew && !token.empty() && now() - started > kOldAfter) {
                        anew = true;
                        break;
                    }
                    --page;
                    continue;
                }
                pause = firstPause;
                if (response.result_int() != 200)
                    throw std::runtime_error("status " + std::to_string(response.result_int()));
                const auto body = Json::parse(response.body());
                for (const auto& entry : body.at("instance_list")) members.push_back(messages::decodePlatformEntry(entry));
                const auto next = body.find("next_token");
                whole = next == body.end() || next->is_null();
                if (whole) break;
                token = next->get<std::string>();
                co_await sleep(callGap() / 2);
            }
        } catch (const std::exception& error) {
            log("list_failed", {{"step", "platformAddress"}, {"peer", boot_.platformAddress}, {"error", error.what()}});
            stream->close();
            stream = std::make_shared<beast::tcp_stream>(io_);
            connected = false, whole = false;
        }
        if (whole) anew = false;
        if (whole && term_() == term) onListRead(members, term);
        const Nanos every = std::max(whole ? kPollEvery : kPollPause, callGap() * pages);
        co_await sleep(std::max(started + every - now(), 20 * kMillisecond));
    }
}

void EndpointDiscovery::onListRead(const std::vector<discovery::Endpoint>& members, std::uint64_t term) {
    const bool first = !cache_.endpointsCurrent() || cache_.endpointListVersion().term != term;
    const auto change = cache_.updateEndpoints(members, term);
    if (!cache_.endpointsCurrent()) return;  // a higher term has been heard of
    if (!change.is_null()) tell_(change);
    // Now and then all of it is compared: what was missed by any way is mended.
    if (!first && now() - compared_ < kCompareEvery) return;
    compared_ = now();
    tell_(cache_.digestMessage());
}

}  // namespace lichenlanding::control_plane
