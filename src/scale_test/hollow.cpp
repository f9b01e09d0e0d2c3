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

constexpr Nanos kMessageCountsInterval = 200 * kMillisecond;
constexpr Nanos kRestartDelay = 500 * kMillisecond;
constexpr std::int64_t kProxiesPerSubnet = 200;

struct NumberedProxy {
    std::int64_t number = 0;
    std::shared_ptr<SimulatedProxy> proxy;
};
using ProxiesByName = std::map<std::string, NumberedProxy>;

std::shared_ptr<SimulatedProxy> openProxy(SimulatorProcess& process, std::int64_t number) {
    auto proxy =
        std::make_shared<SimulatedProxy>(process, simulatedProxyName(number), simulatedProxyAddress(number));
    proxy->open();
    return proxy;
}

Task<> printMessageCounts(SimulatorProcess& process) {
    for (;;) {
        co_await sleep(kMessageCountsInterval);
        printFact(facts::kMessageCounts, {{"heard", process.received}, {"sent", process.sent}});
    }
}

Task<> restart(SimulatorProcess& process, ProxiesByName& proxies, std::string name) {
    const auto entry = proxies.find(name);
    if (entry == proxies.end()) co_return;
    entry->second.proxy->stop();
    co_await sleep(kRestartDelay);
    entry->second.proxy = openProxy(process, entry->second.number);
}

Task<> readCommands(SimulatorProcess& process, ProxiesByName& proxies) {
    asio::posix::stream_descriptor in(process.io, dup(STDIN_FILENO));
    asio::streambuf buffer;
    for (;;) {
        ErrorCode error;
        co_await asio::async_read_until(in, buffer, '\n', withErrorCode(error));
        if (error) break;
        std::istream stream(&buffer);
        std::string command;
        std::string name;
        stream >> command >> name;
        stream.ignore(1);
        if (command == facts::kRestartCommand) spawn(process.io, "restart", restart(process, proxies, name));
    }
    process.io.stop();
}

}  // namespace

std::string simulatedProxyName(std::int64_t n) { return "hollow-" + std::to_string(n); }

std::string simulatedProxyAddress(std::int64_t n) {
    return "127.72." + std::to_string(n / kProxiesPerSubnet + 1) + "." +
           std::to_string(n % kProxiesPerSubnet + 1);
}

void runSimulatedProxies(const Json& settings) {
    const auto first = settings.at("first").get<std::int64_t>();
    const auto count = settings.at("count").get<std::int64_t>();
    openLog("hollow-from-" + std::to_string(first));
    asio::io_context io{1};
    SimulatorProcess process{io, settings.at("port").get<int>(),
                             settings.at("heartbeat_ms").get<Nanos>() * kMillisecond,
                             settings.at("seeds").get<std::vector<std::string>>()};
    ProxiesByName proxies;
    for (auto n = first; n < first + count; ++n) proxies[simulatedProxyName(n)] = {n, openProxy(process, n)};
    spawn(io, "tally", printMessageCounts(process));
    spawn(io, "orders", readCommands(process, proxies));
    io.run();
    std::fflush(stderr);
    _exit(0);  // skips destructors: the kernel closes the sockets
}

}  // namespace lichenlanding::scale_test
