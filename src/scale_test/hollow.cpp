#include "scale_test/hollow.hpp"

#include <unistd.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <cstdio>
#include <istream>

#include "scale_test/facts.hpp"
#include "scale_test/hollow_proxy.hpp"
#include "transport/log.hpp"

namespace lichenlanding::scale_test {
namespace {

using namespace transport;

constexpr Nanos kTallyEvery = 200 * kMillisecond;
constexpr Nanos kRestartTakes = 500 * kMillisecond;
constexpr std::int64_t kProxiesOfNetwork = 200;

struct NumberedProxy {
    std::int64_t number = 0;
    std::shared_ptr<HollowProxy> proxy;
};
using ProxiesByName = std::map<std::string, NumberedProxy>;

std::shared_ptr<HollowProxy> openProxy(HollowProcess& process, std::int64_t number) {
    auto proxy = std::make_shared<HollowProxy>(process, hollowName(number), hollowAddress(number));
    proxy->open();
    return proxy;
}

Task<> tellTallies(HollowProcess& process) {
    for (;;) {
        co_await sleep(kTallyEvery);
        tellFact(facts::kTally, {{"heard", process.heard}, {"sent", process.sent}});
    }
}

Task<> restart(HollowProcess& process, ProxiesByName& proxies, std::string name) {
    const auto at = proxies.find(name);
    if (at == proxies.end()) co_return;
    at->second.proxy->leave();
    co_await sleep(kRestartTakes);
    at->second.proxy = openProxy(process, at->second.number);
}

Task<> takeOrders(HollowProcess& process, ProxiesByName& proxies) {
    asio::posix::stream_descriptor in(process.io, dup(STDIN_FILENO));
    asio::streambuf buffer;
    for (;;) {
        ErrorCode error;
        co_await asio::async_read_until(in, buffer, '\n', withErrorCode(error));
        if (error) break;
        std::istream stream(&buffer);
        std::string order;
        std::string name;
        stream >> order >> name;
        stream.ignore(1);
        if (order == facts::kRestartOrder) spawn(process.io, "restart", restart(process, proxies, name));
    }
    process.io.stop();
}

}  // namespace

std::string hollowName(std::int64_t n) { return "hollow-" + std::to_string(n); }

std::string hollowAddress(std::int64_t n) {
    return "127.72." + std::to_string(n / kProxiesOfNetwork + 1) + "." +
           std::to_string(n % kProxiesOfNetwork + 1);
}

void runHollow(const Json& settings) {
    const auto first = settings.at("first").get<std::int64_t>();
    const auto count = settings.at("count").get<std::int64_t>();
    openLog("hollow-from-" + std::to_string(first));
    asio::io_context io{1};
    HollowProcess process{io, settings.at("port").get<int>(),
                          settings.at("heartbeat_ms").get<Nanos>() * kMillisecond,
                          settings.at("seeds").get<std::vector<std::string>>()};
    ProxiesByName proxies;
    for (auto n = first; n < first + count; ++n) proxies[hollowName(n)] = {n, openProxy(process, n)};
    spawn(io, "tally", tellTallies(process));
    spawn(io, "orders", takeOrders(process, proxies));
    io.run();
    std::fflush(stderr);
    _exit(0);  // what is left open ends with the process
}

}  // namespace lichenlanding::scale_test
