#include "scale_test/observations.hpp"

#include "scale_test/facts.hpp"

namespace lichenlanding::scale_test {

using Json = nlohmann::json;

namespace {

constexpr const char* kProxyReadyEvent = "readiness_gained";  // log event of a real proxy

std::map<std::string, std::uint64_t> sumByPeer(const Json& messages) {
    std::map<std::string, std::uint64_t> sums;
    for (const auto& [peer, types] : messages.items())
        for (const auto& [_, count] : types.items()) sums[peer] += count.get<std::uint64_t>();
    return sums;
}

}  // namespace

void Observations::addLogRecord(const std::string& process, Role role, const Json& record, Nanos now) {
    const auto event = record.value("event", "");
    logRecords[nameOf(role)][event] += 1 + record.value("held_back", 0);
    if (event == kProxyReadyEvent && role == Role::proxy) readyTimes[process].push_back(now);
}

void Observations::add(const std::string& process, Role role, const Json& line, Nanos now) {
    if (!line.contains("fact")) {
        addLogRecord(process, role, line, now);
        return;
    }
    const auto& fact = line.at("fact").get_ref<const std::string&>();
    if (fact == facts::kMessageCounts) {
        messageCounts[process] = {sumByPeer(line.at("heard")), sumByPeer(line.at("sent"))};
        return;
    }
    const auto proxy = line.at("name").get<std::string>();
    const auto at = line.at("ns").get<Nanos>();
    if (fact == facts::kReady) {
        readyTimes[proxy].push_back(at);
    } else if (fact == facts::kConfiguration) {
        applied_[proxy].emplace_back(at, line.at("version").get<std::int64_t>());
    } else if (fact == facts::kEndpoint) {
        endpointChanges[line.at("id").get<std::string>()].emplace(proxy, at);
    } else if (fact == facts::kConnection) {
        auto& connected = connections[line.at("to").get<std::string>()];
        if (line.at("open").get<bool>()) {
            connected.insert(proxy);
        } else {
            connected.erase(proxy);
            ++connectionsEnded;
        }
    }
}

std::vector<Nanos> Observations::appliedTimes(std::int64_t version, Nanos since) const {
    std::vector<Nanos> times;
    for (const auto& [_, versions] : applied_)
        for (const auto& [at, held] : versions)
            if (held >= version) {
                times.push_back(std::max<Nanos>(at - since, 0));
                break;
            }
    return times;
}

}  // namespace lichenlanding::scale_test
