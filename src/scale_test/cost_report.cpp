#include "scale_test/cost_report.hpp"

#include <cmath>
#include <cstdio>

#include "scale_test/report.hpp"

namespace lichenlanding::scale_test {

using Json = nlohmann::json;

namespace {

double perSecond(std::uint64_t count, double seconds) { return static_cast<double>(count) / seconds; }
double kilobytesPerSecond(std::uint64_t bytes, double seconds) {
    return static_cast<double>(bytes) / 1e3 / seconds;
}

void add(Flow& sum, const Flow& flow) {
    sum.open += flow.open;
    sum.bytesIn += flow.bytesIn;
    sum.bytesOut += flow.bytesOut;
    sum.segmentsIn += flow.segmentsIn;
    sum.segmentsOut += flow.segmentsOut;
}

Json describe(const Flow& flow, double seconds) {
    return {{"connections", flow.open},
            {"in_kb_s", kilobytesPerSecond(flow.bytesIn, seconds)},
            {"out_kb_s", kilobytesPerSecond(flow.bytesOut, seconds)},
            {"segments_in_s", perSecond(flow.segmentsIn, seconds)},
            {"segments_out_s", perSecond(flow.segmentsOut, seconds)}};
}

std::string roleOrOther(const std::string& role) { return role.empty() ? "other" : role; }

using CountsByProcess = std::map<std::string, MessageCounts>;

double messagesBetween(const CountsByProcess& from, const CountsByProcess& to,
                       std::map<std::string, std::uint64_t> MessageCounts::*direction,
                       const std::string& peer) {
    const auto sum = [&](const CountsByProcess& countsByProcess) {
        std::uint64_t messages = 0;
        for (const auto& [_, counts] : countsByProcess)
            if (const auto at = (counts.*direction).find(peer); at != (counts.*direction).end())
                messages += at->second;
        return messages;
    };
    return static_cast<double>(sum(to) - sum(from));
}

}  // namespace

double roundedSeconds(Nanos span) { return std::round(static_cast<double>(span) / 1e7) / 100; }

double roundedMegabytes(std::uint64_t bytes) {
    return std::round(static_cast<double>(bytes) / (1 << 20) * 10) / 10;
}

std::map<std::string, std::string> peerRoles(const std::map<std::string, Role>& roles) {
    std::map<std::string, std::string> all{{kOutsideProcess, kOutsideRole}};
    for (const auto& [name, role] : roles)
        all[name] = nameOf(role == Role::simulatedProxies ? Role::proxy : role);
    return all;
}

double CostReport::Phase::seconds() const {
    return static_cast<double>(to.reading.at - from.reading.at) / 1e9;
}

Nanos CostReport::Phase::cpuOf(const std::string& process) const {
    const auto before = from.reading.usage.find(process);
    return to.reading.usage.at(process).cpu - (before == from.reading.usage.end() ? 0 : before->second.cpu);
}

void CostReport::addPhase(const std::string& phaseName, const Snapshot& from, const Snapshot& to,
                          const std::map<std::string, Role>& roles) {
    const Phase phase{phaseName, from, to, peerRoles(roles)};
    SimulatedTotals simulated;
    double busiest = 0;
    Row busiestControlNode;
    Row firstProxy;
    for (const auto& [process, role] : roles) {
        const auto cost = to.reading.usage.find(process);
        if (cost == to.reading.usage.end()) continue;
        if (role == Role::simulatedProxies) {
            simulated.cpu += phase.cpuOf(process);
            simulated.memory += cost->second.memory;
            for (const auto& [peer, flow] : to.reading.flows(from.reading, process, phase.peers))
                add(simulated.flows[peer], flow);
            continue;
        }
        auto row = addProcess(phase, process, role);
        const auto cpu = static_cast<double>(phase.cpuOf(process));
        if (role == Role::proxy && firstProxy.empty()) firstProxy = std::move(row);
        else if (role == Role::controlNode && cpu >= busiest) {
            busiest = cpu;
            busiestControlNode = std::move(row);
        }
    }
    if (!busiestControlNode.empty()) costs_.push_back(std::move(busiestControlNode));
    if (!firstProxy.empty()) costs_.push_back(std::move(firstProxy));
    addSimulatedProxies(phase, simulated);
}

// Prints the line of a real process and returns its table row.
CostReport::Row CostReport::addProcess(const Phase& phase, const std::string& process, Role role) {
    const double seconds = phase.seconds();
    const auto& cost = phase.to.reading.usage.at(process);
    const double cpu = static_cast<double>(phase.cpuOf(process)) / 1e9;
    Json line{{"phase", phase.name},
              {"role", nameOf(role)},
              {"name", process},
              {"seconds", roundedSeconds(phase.to.reading.at - phase.from.reading.at)},
              {"cpu_s", cpu},
              {"cpu_of_core", cpu / seconds},
              {"memory_mb", roundedMegabytes(cost.memory)},
              {"peak_mb", roundedMegabytes(cost.peakMemory)},
              {"with", Json::object()}};
    Flow sum;
    for (const auto& [peer, flow] : phase.to.reading.flows(phase.from.reading, process, phase.peers)) {
        line["with"][roleOrOther(peer)] = describe(flow, seconds);
        add(sum, flow);
    }
    print(line);
    return {phase.name + ", " + process,
            cpu / seconds * 100,
            kilobytesPerSecond(sum.bytesIn, seconds),
            kilobytesPerSecond(sum.bytesOut, seconds),
            perSecond(sum.segmentsIn, seconds),
            perSecond(sum.segmentsOut, seconds),
            sum.open,
            roundedMegabytes(cost.memory),
            roundedMegabytes(cost.peakMemory)};
}

// Prints the line of all simulated proxies and adds the mean of one proxy to the table.
void CostReport::addSimulatedProxies(const Phase& phase, const SimulatedTotals& simulated) {
    const auto proxies = static_cast<double>(simulatedProxies_);
    const auto each = [&](double value) { return value / phase.seconds() / proxies; };
    const auto eachKilobytes = [&](std::uint64_t bytes) { return each(static_cast<double>(bytes)) / 1e3; };
    Json line{{"phase", phase.name},
              {"role", nameOf(Role::simulatedProxies)},
              {"proxies", simulatedProxies_},
              {"seconds", roundedSeconds(phase.to.reading.at - phase.from.reading.at)},
              {"cpu_s", static_cast<double>(simulated.cpu) / 1e9},
              {"memory_mb", roundedMegabytes(simulated.memory)},
              {"each", Json::object()}};
    Flow sum;
    double received = 0;
    double sent = 0;
    for (const auto& [peer, flow] : simulated.flows) {
        const auto in =
            messagesBetween(phase.from.messageCounts, phase.to.messageCounts, &MessageCounts::received, peer);
        const auto out =
            messagesBetween(phase.from.messageCounts, phase.to.messageCounts, &MessageCounts::sent, peer);
        line["each"][roleOrOther(peer)] = {{"connections", static_cast<double>(flow.open) / proxies},
                                           {"in_kb_s", eachKilobytes(flow.bytesIn)},
                                           {"out_kb_s", eachKilobytes(flow.bytesOut)},
                                           {"messages_in_s", each(in)},
                                           {"messages_out_s", each(out)}};
        add(sum, flow);
        received += in;
        sent += out;
    }
    print(line);
    costs_.push_back({phase.name + ", simulated proxy (mean)", nullptr, eachKilobytes(sum.bytesIn),
                      eachKilobytes(sum.bytesOut), each(received), each(sent),
                      static_cast<double>(sum.open) / proxies, roundedMegabytes(simulated.memory) / proxies,
                      nullptr});
}

void CostReport::addTime(const std::string& what, Json about) {
    about["time"] = what;
    print(about);
    const auto& spread = about.at("spread");
    const auto cell = [&](const char* name) { return spread.is_null() ? Json() : spread.at(name); };
    times_.push_back(
        {what, cell("n"), cell("median_ms"), cell("p99_ms"), cell("max_ms"), about.value("missing", 0)});
}

void CostReport::print(const Json& line) {
    std::printf("%s\n", line.dump().c_str());
    std::fflush(stdout);
}

void CostReport::printTables() const {
    const std::vector<std::string> costs{"phase, process", "core %",        "kB/s in",
                                         "kB/s out",       "messages/s in", "messages/s out",
                                         "connections",    "memory",        "peak"};
    const std::vector<std::string> times{"times, ms", "n", "median", "p99", "max", "missing"};
    std::printf(
        "\nCPU in percent of one core, payload in kB/s, messages or TCP segments per second, memory in "
        "MB:\n\n%s",
        markdownTable(costs, costs_).c_str());
    std::printf("\n%s", markdownTable(times, times_).c_str());
    std::fflush(stdout);
}

}  // namespace lichenlanding::scale_test
