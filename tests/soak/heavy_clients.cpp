#include "soak/heavy_clients.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace soak {
namespace {

constexpr int kPipelined = 32;
constexpr std::size_t kBodyBytes = 200'000;
constexpr std::size_t kOrderBytes = 6 << 20;
constexpr Nanos kHoldTime = 1500 * kMillisecond;  // from the start of a burst to the end of its connections

Task<> send(tcp::socket& socket, std::shared_ptr<const std::string> bytes) {
    ErrorCode ignored;
    co_await asio::async_write(socket, asio::buffer(*bytes), withErrorCode(ignored));
}

}  // namespace

void HeavyClients::start() {
    ++running_;
    spawn(cluster_.io, "heavy clients", run());
}

Task<> HeavyClients::run() {
    while (!stopping_) {
        co_await sleep(static_cast<Nanos>(random_() % 1000) * kMillisecond);
        auto burst = nextBurst();
        co_await sendOnAll(std::move(burst));
    }
    --running_;
}

HeavyClients::Burst HeavyClients::nextBurst() {
    const auto& proxy = proxies_[random_() % proxies_.size()];
    const auto& controlNode = controlNodes_[random_() % controlNodes_.size()];
    switch (random_() % 4) {
        case 0:
            return pipelinedBodies(proxy);
        case 1:
            return unreadResponses(proxy);
        case 2:
            return {cluster_.at(proxy, random_() % 2 == 0 ? cluster_.front : cluster_.probe), "", 300};
        default:
            return invalidConfiguration(controlNode);
    }
}

std::string HeavyClients::request(const std::string& proxy, const std::string& method,
                                  std::size_t bodyBytes) {
    const auto id = "heavy-" + std::to_string(++lastNumber_);
    auto& record = ledger_.requests[id];
    record.proxy = proxy;
    record.repeatable = true;
    return method + " /r/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: 2000\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" +
           std::string(bodyBytes, 'b');
}

HeavyClients::Burst HeavyClients::pipelinedBodies(const std::string& proxy) {
    Burst burst{cluster_.at(proxy, cluster_.front), "", 40};
    for (int number = 0; number < kPipelined; ++number) burst.bytes += request(proxy, "PUT", kBodyBytes);
    return burst;
}

HeavyClients::Burst HeavyClients::unreadResponses(const std::string& proxy) {
    Burst burst{cluster_.at(proxy, cluster_.front), "", 60};
    for (int number = 0; number < kPipelined; ++number) burst.bytes += request(proxy, "GET", 0);
    return burst;
}

// Never complete, nested, or one long list.
HeavyClients::Burst HeavyClients::invalidConfiguration(const std::string& controlNode) {
    const auto announced = kOrderBytes + random_() % 2;
    std::string body;
    switch (random_() % 3) {
        case 0:
            body = std::string(kOrderBytes, '[');
            break;
        case 1:
            body = R"({"resources":[)";
            while (body.size() < kOrderBytes) body += "1,";
            break;
        default:
            body = R"({"resources":[{"spec":[)";
            while (body.size() < kOrderBytes) body += "{},";
    }
    body.resize(kOrderBytes);
    return {cluster_.at(controlNode, cluster_.control),
            "POST /api/rpc?call=config.replace HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                std::to_string(announced) + "\r\n\r\n" + body,
            8};
}

// Opens the connections, sends on all of them at once, and closes them after kHoldTime.
Task<> HeavyClients::sendOnAll(Burst burst) {
    const auto bytes = std::make_shared<const std::string>(std::move(burst.bytes));
    const auto address = parseAddress(burst.address);
    std::deque<tcp::socket> sockets;
    for (int number = 0; number < burst.connections; ++number) {
        auto& socket = sockets.emplace_back(cluster_.io);
        ErrorCode error;
        co_await socket.async_connect(address, withErrorCode(error));
        if (error) break;
        if (!bytes->empty()) spawn(cluster_.io, "heavy client", send(socket, bytes));
    }
    co_await sleep(kHoldTime);
    ErrorCode ignored;
    for (auto& socket : sockets) socket.close(ignored);
    co_await sleep(kMillisecond);  // until the writes have been cancelled
}

}  // namespace soak
