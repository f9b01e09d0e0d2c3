#include "control_plane/endpoint_discovery.hpp"

#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

namespace {

constexpr Nanos kPollInterval = 500 * kMillisecond;
constexpr int kPollsPerDrain = 4;
constexpr Nanos kRetryInterval = 300 * kMillisecond;  // after a list that could not be read to its end
constexpr Nanos kWithoutLeaseInterval = kRetryInterval / 3;
constexpr Nanos kMinPause = 20 * kMillisecond;
constexpr Nanos kDigestInterval = 5 * kSecond;
// Backoff after a page that is answered 429: doubled each time.
constexpr Nanos kMinBackoff = 20 * kMillisecond, kMaxBackoff = kSecond;
// The first pages are old by then, while the rest of the list is answered 429.
constexpr Nanos kMaxListAge = 2 * kSecond;
constexpr double kShareOfRate = 0.7;  // of the platform's requests a second that the list may use
constexpr int kMaxPages = 1000;
constexpr unsigned kTooManyRequests = 429;

}  // namespace

/// Between two requests, so that they stay within the platform's rate limit for all.
Nanos EndpointDiscovery::requestGap() const {
    return boot_.platformCallsPerSecond > 0
               ? static_cast<Nanos>(1e9 / (boot_.platformCallsPerSecond * kShareOfRate))
               : 0;
}

/// Each call to the platform is priced: a list of several pages is read as often as leaves a draining pod
/// known within half of `drain`, with a part of that for the reading itself and for telling the proxies.
Nanos EndpointDiscovery::pollInterval(int pages) const {
    return pages > 1 ? std::max(kPollInterval, boot_.drainTime / kPollsPerDrain) : kPollInterval;
}

Task<> EndpointDiscovery::run() {
    EndpointListClient client(io_, boot_);
    for (;;) {
        const auto term = term_();
        if (term == 0) {
            cache_.markEndpointsStale();
            co_await sleep(kWithoutLeaseInterval);
            continue;
        }
        const Nanos startedAt = now();
        const auto list = co_await readList(client, term);
        if (list.complete) restarted_ = false;
        if (list.complete && term_() == term) onListRead(list.endpoints, term);
        const Nanos interval = std::max(list.complete ? pollInterval(list.requests) : kRetryInterval,
                                        requestGap() * list.requests);
        co_await sleep(std::max(startedAt + interval - now(), kMinPause));
    }
}

Task<EndpointDiscovery::EndpointList> EndpointDiscovery::readList(EndpointListClient& client,
                                                                  std::uint64_t term) {
    EndpointList list;
    try {
        co_await readPages(client, term, list);
    } catch (const std::exception& error) {
        log("endpoint_list_failed",
            {{"step", "read_list"}, {"peer", boot_.platformAddress}, {"error", error.what()}});
        client.reset();
        list.complete = false;
    }
    co_return list;
}

Task<> EndpointDiscovery::readPages(EndpointListClient& client, std::uint64_t term, EndpointList& list) {
    const Nanos startedAt = now();
    const Nanos firstBackoff = std::max(requestGap() * 2, kMinBackoff);
    Nanos backoff = firstBackoff;
    std::string token;
    for (int page = 0; page < kMaxPages;) {
        const auto response = co_await client.requestPage(token);
        ++list.requests;
        ++requests_;
        if (response.result_int() == kTooManyRequests) {
            ++rateLimited_;
            log("endpoint_list_rejected", {{"step", "request_page"},
                                           {"peer", boot_.platformAddress},
                                           {"status", response.result_int()}});
            co_await sleep(backoff);
            backoff = std::max(firstBackoff, std::min(backoff * 2, kMaxBackoff));
            if (!readOn(term, token.empty(), startedAt)) co_return;
            continue;  // the same page again
        }
        backoff = firstBackoff;
        if (response.result_int() != 200)
            throw std::runtime_error("status " + std::to_string(response.result_int()));
        auto read = decodeEndpointListPage(response.body());
        std::move(read.endpoints.begin(), read.endpoints.end(), std::back_inserter(list.endpoints));
        list.complete = !read.nextToken;
        if (list.complete) co_return;
        token = *read.nextToken;
        ++page;
        co_await sleep(requestGap() / 2);
    }
}

/// Whether the page that was answered 429 is to be asked for again.
bool EndpointDiscovery::readOn(std::uint64_t term, bool firstPage, Nanos startedAt) {
    if (term_() != term) return false;  // the lease was lost, or acquired anew
    if (restarted_ || firstPage || now() - startedAt <= kMaxListAge) return true;
    // Endpoints have come and gone since the first page. Once: an old list is better than none.
    restarted_ = true;
    return false;
}

void EndpointDiscovery::onListRead(const std::vector<discovery::Endpoint>& endpoints, std::uint64_t term) {
    const bool first = !cache_.endpointsCurrent() || cache_.endpointListVersion().term != term;
    const auto change = cache_.updateEndpoints(endpoints, term);
    if (!cache_.endpointsCurrent()) return;  // a higher term has been heard of
    if (!change.is_null()) broadcast_(change);
    // Now and then digests of the whole list are compared: whatever was missed is then sent again.
    if (!first && now() - digestSentAt_ < kDigestInterval) return;
    digestSentAt_ = now();
    broadcast_(cache_.digestMessage());
}

}  // namespace lichenlanding::control_plane
