#include "control_plane/endpoint_discovery.hpp"

#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

namespace {

constexpr Nanos kPollInterval = 500 * kMillisecond;
constexpr int kPollsPerDrain = 4;
constexpr Nanos kRetryInterval = 300 * kMillisecond;  // after a list that could not be read completely
constexpr Nanos kWithoutLeaseInterval = kRetryInterval / 3;
constexpr Nanos kMinPause = 20 * kMillisecond;
constexpr Nanos kDigestInterval = 5 * kSecond;
// Exponential backoff after a page is answered with status 429.
constexpr Nanos kMinBackoff = 20 * kMillisecond, kMaxBackoff = kSecond;
// Maximum age of the first page while later pages are answered with 429; then the list is read again.
constexpr Nanos kMaxListAge = 2 * kSecond;
constexpr double kShareOfRate = 0.7;  // the part of the platform's rate limit that polling may use
constexpr int kMaxPages = 1000;
constexpr unsigned kTooManyRequests = 429;

}  // namespace

/// The interval between two requests that keeps within the share of the platform's rate limit.
Nanos EndpointDiscovery::requestGap() const {
    return boot_.platformCallsPerSecond > 0
               ? static_cast<Nanos>(1e9 / (boot_.platformCallsPerSecond * kShareOfRate))
               : 0;
}

/// Requests to the platform have a cost, so a list of several pages is read only as often as is needed to
/// detect a draining pod within half of `drain`. The rest of that half is for reading and for updating
/// proxies.
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
            if (!shouldRetryPage(term, token.empty(), startedAt)) co_return;
            continue;  // retries the same page
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

/// Whether to retry a page that was answered with 429. If not, the list is read again from its first page.
bool EndpointDiscovery::shouldRetryPage(std::uint64_t term, bool firstPage, Nanos startedAt) {
    if (term_() != term) return false;  // the lease was lost, or acquired again
    if (restarted_ || firstPage || now() - startedAt <= kMaxListAge) return true;
    // The first page is outdated. Restarts only once, because an outdated list is better than none.
    restarted_ = true;
    return false;
}

void EndpointDiscovery::onListRead(const std::vector<discovery::Endpoint>& endpoints, std::uint64_t term) {
    const bool first = !cache_.endpointsCurrent() || cache_.endpointListVersion().term != term;
    const auto change = cache_.updateEndpoints(endpoints, term);
    if (!cache_.endpointsCurrent()) return;  // a higher term is known
    if (!change.is_null()) broadcast_(change);
    // Digests of the whole list are sent at intervals, so that proxies detect and fetch missed changes.
    if (!first && now() - digestSentAt_ < kDigestInterval) return;
    digestSentAt_ = now();
    broadcast_(cache_.digestMessage());
}

}  // namespace lichenlanding::control_plane
