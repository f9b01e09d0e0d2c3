#include "soak/soak_world.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>

namespace soak {
namespace {

constexpr Nanos kLongWork = 3 * kSecond;
constexpr Nanos kPollInterval = 20 * kMillisecond;
constexpr Nanos kReleaseTimeout =
    500 * kMillisecond;  // rule GONE: time to cancel the pod's work after the client disconnected
constexpr Nanos kLossSlack =
    200 * kMillisecond;  // rule LOST: a request in flight may still be cut this soon after it was sent
constexpr Nanos kRecoveryTime = 3 * kSecond;  // a disturbance may still explain failures for this long
constexpr int kMaxLateArrivals = 3;
constexpr const char* kDeadlineMillis = "4000";

bool hasPeerClosed(tcp::socket& socket) {
    char byte;
    const auto read = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return read == 0 || (read < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string bodyOf(const std::string& id) { return "body of " + id; }

bool promisesNotExecuted(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

// ---- Pods. ----

Pods::Pods(Cluster& cluster, Ledger& ledger, int count) : cluster_(cluster), ledger_(ledger) {
    cluster_.pods.clear();
    for (int number = 0; number < count; ++number) {
        acceptors_.push_back(std::make_unique<tcp::acceptor>(listen(cluster_.io, "127.0.0.1:0")));
        cluster_.pods["p-" + std::to_string(number)] =
            "127.0.0.1:" + std::to_string(acceptors_.back()->local_endpoint().port());
        spawn(cluster_.io, "pod", accept(*acceptors_.back()));
    }
}

Task<> Pods::accept(tcp::acceptor& acceptor) {
    for (;;) {
        ErrorCode error;
        auto socket = co_await acceptor.async_accept(withErrorCode(error));
        if (error) co_return;
        spawn(cluster_.io, "pod connection", serve(std::move(socket)));
    }
}

// Works until `until`; returns false if the caller closed the connection before.
Task<bool> Pods::work(tcp::socket& socket, Nanos until) {
    while (now() < until) {
        co_await sleep(std::min(kPollInterval, until - now()));
        if (hasPeerClosed(socket)) co_return false;
    }
    co_return true;
}

Task<> Pods::serve(tcp::socket socket) {
    beast::flat_buffer buffer;
    for (;;) {
        http::request<http::string_body> request;
        ErrorCode error;
        co_await http::async_read(socket, buffer, request, withErrorCode(error));
        if (error) co_return;
        const std::string id(request["X-Attempt-Id"]);
        const bool longRequest = request.target().ends_with("/long");
        auto& record = ledger_.requests[id];
        ++record.runs;
        record.lastArrival = now();
        const Nanos start = now();
        const Nanos duration =
            longRequest ? kLongWork : static_cast<Nanos>(1 + random_() % 25) * kMillisecond;
        const bool finished = co_await work(socket, start + duration);
        auto& worked = ledger_.requests[id].workEnded;
        worked = std::max(worked, now());
        if (!finished) co_return;
        http::response<http::string_body> response(http::status::ok, 11);
        response.set("X-Attempt-Id", id);
        response.set("X-Response-Seal", "seal");
        response.body() = bodyOf(id);
        response.prepare_payload();
        co_await http::async_write(socket, response, withErrorCode(error));
        if (error) co_return;
    }
}

// ---- Clients. ----

void Clients::start(int count) {
    for (int number = 0; number < count; ++number) {
        ++running_;
        spawn(cluster_.io, "client", run(number));
    }
}

Task<> Clients::run(int number) {
    while (!stopping_) {
        const auto proxy = proxies_[random_() % proxies_.size()];
        tcp::socket socket(cluster_.io);
        ErrorCode error;
        const auto address = parseAddress(cluster_.at(proxy, cluster_.front));
        co_await socket.async_connect(address, withErrorCode(error));
        if (error) {
            co_await sleep(30 * kMillisecond);
            continue;
        }
        beast::flat_buffer buffer;
        Exchange last{true};
        while (last.reusable && !stopping_) {
            const auto id = std::to_string(number) + "-" + std::to_string(++lastNumber_);
            if (random_() % 40 == 0) {
                co_await disconnectEarly(socket, proxy, id);
                break;
            }
            last = co_await exchange(socket, buffer, proxy, id);
            if (last.reusable) co_await sleep(static_cast<Nanos>(1 + random_() % 30) * kMillisecond);
        }
    }
    --running_;
}

Task<Clients::Exchange> Clients::exchange(tcp::socket& socket, beast::flat_buffer& buffer,
                                          const std::string& proxy, const std::string& id) {
    const bool repeatable = random_() % 3 > 0;
    auto& record = ledger_.requests[id];
    record.proxy = proxy;
    record.repeatable = repeatable;
    http::request<http::string_body> request(repeatable ? http::verb::get : http::verb::post,
                                             repeatable ? "/r/1" : "/w/1", 11);
    request.set(http::field::host, "h");
    request.set("X-Attempt-Id", id);
    request.set("X-Deadline-Ms", kDeadlineMillis);
    if (!repeatable) request.body() = "order " + id;
    request.prepare_payload();
    ErrorCode error;
    co_await http::async_write(socket, request, withErrorCode(error));
    if (error) co_return Exchange{};
    const Nanos sent = now();
    http::response<http::string_body> response;
    co_await http::async_read(socket, buffer, response, withErrorCode(error));
    if (error) {
        checkDisconnect(id, sent);
        co_return Exchange{};
    }
    checkResponse(id, response);
    co_return Exchange{response.keep_alive()};
}

// Sends a request that takes kLongWork, and disconnects after 20 to 220 ms.
Task<> Clients::disconnectEarly(tcp::socket& socket, const std::string& proxy, const std::string& id) {
    auto& record = ledger_.requests[id];
    record.proxy = proxy;
    record.repeatable = true;
    const std::string closing = random_() % 3 == 0 ? "Connection: close\r\n" : "";
    const std::string bytes = "GET /r/long HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
                              "\r\nX-Deadline-Ms: " + kDeadlineMillis + "\r\n" + closing + "\r\n";
    const bool reset = random_() % 2 == 0;
    const Nanos delay = static_cast<Nanos>(20 + random_() % 200) * kMillisecond;
    ErrorCode error;
    co_await asio::async_write(socket, asio::buffer(bytes), withErrorCode(error));
    if (error) co_return;
    co_await sleep(delay);
    if (reset) socket.set_option(tcp::socket::linger(true, 0), error);
    socket.close(error);
    ledger_.requests[id].clientDisconnected = now();
    ++ledger_.left;
}

void Clients::checkResponse(const std::string& id, const http::response<http::string_body>& response) {
    const auto status = response.result_int();
    const std::string responseId(response["X-Attempt-Id"]);
    auto& record = ledger_.requests[id];
    if (!responseId.empty() && responseId != id)
        ledger_.violate("MIXED", id + " got the response to " + responseId);
    if (status == 200) {
        ++ledger_.answered;
        if (response.body() != bodyOf(id)) ledger_.violate("MIXED", id + " got " + response.body());
    } else if (promisesNotExecuted(status)) {
        ++ledger_.refused;
        record.promisedNotExecuted = true;
    } else {
        ++ledger_.failed;
        if (status / 100 != 5) ledger_.violate("DENIED", id + " got " + std::to_string(status));
    }
}

// Handles a connection that ended without a response. Only a kill or suspension of the proxy may cause that;
// a graceful stop may not.
void Clients::checkDisconnect(const std::string& id, Nanos sent) {
    ++ledger_.cut;
    const auto& record = ledger_.requests[id];
    if (!ledger_.undisturbed(record.proxy, sent, now())) return;
    if (record.runs > 0)
        ledger_.violate("LOST", id + " at " + record.proxy + " was executed but not answered");
    else if (now() - sent > kLossSlack)
        ledger_.violate("LOST", id + " at " + record.proxy + " was cut after " +
                                    std::to_string((now() - sent) / kMillisecond) + " ms");
}

// ---- At the end. ----

bool Ledger::undisturbed(const std::string& proxy, Nanos from, Nanos until) const {
    const auto at = disturbances.find(proxy);
    return at == disturbances.end() ||
           std::none_of(at->second.begin(), at->second.end(), [&](Nanos disturbance) {
               return disturbance > from - kRecoveryTime && disturbance < until;
           });
}

void checkLedger(Ledger& ledger) {
    int cancelled = 0;
    int workedOn = 0;
    int lateArrivals = 0;
    for (const auto& [id, record] : ledger.requests) {
        const bool sentByClient = !record.proxy.empty();
        if (!sentByClient) ledger.violate("UNASKED", id + " was executed, but no client sent it");
        if (sentByClient && !record.repeatable && record.runs > 1)
            ledger.violate("TWICE", id + " was executed " + std::to_string(record.runs) + " times");
        if (!record.repeatable && record.promisedNotExecuted && record.runs > 0)
            ledger.violate("REFUSED", id + " was executed although its status promised that it was not");
        const Nanos disconnected = record.clientDisconnected;
        if (disconnected == 0 || record.runs == 0 ||
            !ledger.undisturbed(record.proxy, disconnected, disconnected + kSecond))
            continue;
        ++(record.workEnded > disconnected + kReleaseTimeout ? workedOn : cancelled);
        lateArrivals += record.lastArrival > disconnected + kReleaseTimeout;
    }
    if (workedOn * 4 > workedOn + cancelled)
        ledger.violate("GONE", std::to_string(workedOn) + " of " + std::to_string(workedOn + cancelled) +
                                   " executions went on after their clients had disconnected");
    if (lateArrivals > kMaxLateArrivals)
        ledger.violate("GONE", std::to_string(lateArrivals) +
                                   " requests were sent to pods after their clients had disconnected");
}

}  // namespace soak
