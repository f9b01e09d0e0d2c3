#include "scale_test/measure.hpp"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/rtnetlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace lichenlanding::scale_test {
namespace {

namespace fs = std::filesystem;

constexpr std::uint32_t kEstablished = 1U << 1;

std::string formatAddress(const __be32* address, __be16 port) {
    char buffer[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, address, buffer, sizeof buffer);
    return std::string(buffer) + ":" + std::to_string(ntohs(port));
}

Nanos now() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

// The value of `name` in bytes, from a file with lines "name: number kB"; 0 if missing.
std::uint64_t readMemoryField(const std::string& path, const std::string& name) {
    std::ifstream file(path);
    for (std::string word; file >> word;)
        if (std::uint64_t value = 0; word == name && file >> value) return value << 10;
    return 0;
}

}  // namespace

std::map<std::uint64_t, Socket> tcpConnections() {
    std::map<std::uint64_t, Socket> all;
    const int netlink = socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (netlink < 0) return all;
    struct {
        nlmsghdr head;
        inet_diag_req_v2 diag;
    } request{};
    request.head.nlmsg_len = sizeof request;
    request.head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.head.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
    request.diag.sdiag_family = AF_INET;
    request.diag.sdiag_protocol = IPPROTO_TCP;
    request.diag.idiag_ext = 1U << (INET_DIAG_INFO - 1);
    request.diag.idiag_states = kEstablished;
    bool pending = send(netlink, &request, sizeof request, 0) == sizeof request;
    std::vector<char> buffer(1 << 17);
    while (pending) {
        const auto received = recv(netlink, buffer.data(), buffer.size(), 0);
        if (received <= 0) break;
        auto remaining = static_cast<std::size_t>(received);
        for (auto* head = reinterpret_cast<nlmsghdr*>(buffer.data()); NLMSG_OK(head, remaining);
             head = NLMSG_NEXT(head, remaining)) {
            if (head->nlmsg_type == NLMSG_DONE || head->nlmsg_type == NLMSG_ERROR) {
                pending = false;
                break;
            }
            const auto* message = static_cast<const inet_diag_msg*>(NLMSG_DATA(head));
            auto& socket = all[message->idiag_inode];
            socket.localAddress = formatAddress(message->id.idiag_src, message->id.idiag_sport);
            socket.remoteAddress = formatAddress(message->id.idiag_dst, message->id.idiag_dport);
            auto attributeLength = static_cast<int>(head->nlmsg_len - NLMSG_LENGTH(sizeof *message));
            for (const auto* attribute = reinterpret_cast<const rtattr*>(message + 1);
                 RTA_OK(attribute, attributeLength); attribute = RTA_NEXT(attribute, attributeLength)) {
                if (attribute->rta_type != INET_DIAG_INFO) continue;
                tcp_info info{};
                std::memcpy(&info, RTA_DATA(attribute),
                            std::min<std::size_t>(sizeof info, RTA_PAYLOAD(attribute)));
                socket.bytesIn = info.tcpi_bytes_received;
                socket.bytesOut = info.tcpi_bytes_acked;
                socket.segmentsIn = info.tcpi_data_segs_in;
                socket.segmentsOut = info.tcpi_data_segs_out;
            }
        }
    }
    close(netlink);
    return all;
}

ProcessUsage processUsage(pid_t id) {
    ProcessUsage usage;
    const auto folder = "/proc/" + std::to_string(id);
    std::error_code error;
    for (fs::directory_iterator at(folder + "/task", error), end; !error && at != end; at.increment(error)) {
        std::ifstream file(at->path() / "schedstat");
        if (Nanos spent = 0; file >> spent) usage.cpu += spent;
    }
    usage.memory = readMemoryField(folder + "/status", "VmRSS:");
    usage.peakMemory = readMemoryField(folder + "/status", "VmHWM:");
    const std::string prefix = "socket:[";
    for (fs::directory_iterator at(folder + "/fd", error), end; !error && at != end; at.increment(error)) {
        std::error_code closed;
        const auto name = fs::read_symlink(at->path(), closed).string();
        std::uint64_t inode = 0;
        if (!closed && name.starts_with(prefix) &&
            std::from_chars(name.data() + prefix.size(), name.data() + name.size(), inode).ec == std::errc{})
            usage.sockets.push_back(inode);
    }
    return usage;
}

std::uint64_t residentMemory(pid_t id) {
    return readMemoryField("/proc/" + std::to_string(id) + "/status", "VmRSS:");
}

SystemMemory systemMemory() {
    return {readMemoryField("/proc/meminfo", "MemTotal:"), readMemoryField("/proc/meminfo", "MemAvailable:")};
}

UsageReading UsageReading::capture(const std::map<std::string, pid_t>& processes) {
    UsageReading all;
    all.at = now();
    for (const auto& [name, id] : processes) {
        const auto& usage = all.usage[name] = processUsage(id);
        for (const auto inode : usage.sockets) all.owners[inode] = name;
    }
    all.sockets = tcpConnections();
    return all;
}

std::map<std::string, Flow> UsageReading::flows(const UsageReading& before, const std::string& process,
                                                const std::map<std::string, std::string>& roles) const {
    std::map<std::string, std::string> processByAddresses;  // process by both addresses of a connection
    for (const auto& [inode, socket] : sockets)
        if (const auto owner = owners.find(inode); owner != owners.end())
            processByAddresses[socket.localAddress + " " + socket.remoteAddress] = owner->second;
    std::map<std::string, Flow> all;
    for (const auto& [inode, owner] : owners) {
        if (owner != process) continue;
        const auto at = sockets.find(inode);
        if (at == sockets.end()) continue;  // not established, such as a listening socket
        const auto& socket = at->second;
        const auto peer = processByAddresses.find(socket.remoteAddress + " " + socket.localAddress);
        const auto role = peer == processByAddresses.end() ? roles.end() : roles.find(peer->second);
        auto& flow = all[role == roles.end() ? std::string() : role->second];
        const auto earlier = before.sockets.find(inode);
        const Socket previous = earlier == before.sockets.end() ? Socket{} : earlier->second;
        ++flow.open;
        flow.bytesIn += socket.bytesIn - previous.bytesIn;
        flow.bytesOut += socket.bytesOut - previous.bytesOut;
        flow.segmentsIn += socket.segmentsIn - previous.segmentsIn;
        flow.segmentsOut += socket.segmentsOut - previous.segmentsOut;
    }
    return all;
}

}  // namespace lichenlanding::scale_test
