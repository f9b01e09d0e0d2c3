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

// The number behind `name` in a file of lines "name: number kB".
std::uint64_t kilobytes(const std::string& path, const std::string& name) {
    std::ifstream file(path);
    for (std::string word; file >> word;)
        if (std::uint64_t value = 0; word == name && file >> value) return value << 10;
    return 0;
}

}  // namespace

std::map<std::uint64_t, Socket> connections() {
    std::map<std::uint64_t, Socket> all;
    const int link = socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (link < 0) return all;
    struct {
        nlmsghdr head;
        inet_diag_req_v2 ask;
    } request{};
    request.head.nlmsg_len = sizeof request;
    request.head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.head.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
    request.ask.sdiag_family = AF_INET;
    request.ask.sdiag_protocol = IPPROTO_TCP;
    request.ask.idiag_ext = 1U << (INET_DIAG_INFO - 1);
    request.ask.idiag_states = kEstablished;
    bool more = send(link, &request, sizeof request, 0) == sizeof request;
    std::vector<char> buffer(1 << 17);
    while (more) {
        const auto got = recv(link, buffer.data(), buffer.size(), 0);
        if (got <= 0) break;
        auto left = static_cast<std::size_t>(got);
        for (auto* head = reinterpret_cast<nlmsghdr*>(buffer.data()); NLMSG_OK(head, left);
             head = NLMSG_NEXT(head, left)) {
            if (head->nlmsg_type == NLMSG_DONE || head->nlmsg_type == NLMSG_ERROR) {
                more = false;
                break;
            }
            const auto* message = static_cast<const inet_diag_msg*>(NLMSG_DATA(head));
            auto& socket = all[message->idiag_inode];
            socket.from = formatAddress(message->id.idiag_src, message->id.idiag_sport);
            socket.to = formatAddress(message->id.idiag_dst, message->id.idiag_dport);
            auto room = static_cast<int>(head->nlmsg_len - NLMSG_LENGTH(sizeof *message));
            for (const auto* part = reinterpret_cast<const rtattr*>(message + 1); RTA_OK(part, room);
                 part = RTA_NEXT(part, room)) {
                if (part->rta_type != INET_DIAG_INFO) continue;
                tcp_info info{};
                std::memcpy(&info, RTA_DATA(part), std::min<std::size_t>(sizeof info, RTA_PAYLOAD(part)));
                socket.in = info.tcpi_bytes_received;
                socket.out = info.tcpi_bytes_acked;
                socket.segmentsIn = info.tcpi_data_segs_in;
                socket.segmentsOut = info.tcpi_data_segs_out;
            }
        }
    }
    close(link);
    return all;
}

Cost cost(pid_t id) {
    Cost cost;
    const auto folder = "/proc/" + std::to_string(id);
    std::error_code gone;
    for (fs::directory_iterator at(folder + "/task", gone), end; !gone && at != end; at.increment(gone)) {
        std::ifstream file(at->path() / "schedstat");
        if (Nanos spent = 0; file >> spent) cost.cpu += spent;
    }
    cost.memory = kilobytes(folder + "/status", "VmRSS:");
    cost.peak = kilobytes(folder + "/status", "VmHWM:");
    const std::string prefix = "socket:[";
    for (fs::directory_iterator at(folder + "/fd", gone), end; !gone && at != end; at.increment(gone)) {
        std::error_code closed;
        const auto name = fs::read_symlink(at->path(), closed).string();
        std::uint64_t inode = 0;
        if (!closed && name.starts_with(prefix) &&
            std::from_chars(name.data() + prefix.size(), name.data() + name.size(), inode).ec == std::errc{})
            cost.sockets.push_back(inode);
    }
    return cost;
}

std::uint64_t resident(pid_t id) { return kilobytes("/proc/" + std::to_string(id) + "/status", "VmRSS:"); }

Memory memory() {
    return {kilobytes("/proc/meminfo", "MemTotal:"), kilobytes("/proc/meminfo", "MemAvailable:")};
}

Reading Reading::take(const std::map<std::string, pid_t>& processes) {
    Reading all;
    all.at = now();
    for (const auto& [name, id] : processes) {
        const auto& processCost = all.costs[name] = cost(id);
        for (const auto inode : processCost.sockets) all.owners[inode] = name;
    }
    all.sockets = connections();
    return all;
}

std::map<std::string, Flow> Reading::flows(const Reading& before, const std::string& process,
                                           const std::map<std::string, std::string>& roles) const {
    std::map<std::string, std::string> ends;  // both addresses: process
    for (const auto& [inode, socket] : sockets)
        if (const auto owner = owners.find(inode); owner != owners.end())
            ends[socket.from + " " + socket.to] = owner->second;
    std::map<std::string, Flow> all;
    for (const auto& [inode, owner] : owners) {
        if (owner != process) continue;
        const auto at = sockets.find(inode);
        if (at == sockets.end()) continue;  // it listens
        const auto& socket = at->second;
        const auto other = ends.find(socket.to + " " + socket.from);
        const auto role = other == ends.end() ? roles.end() : roles.find(other->second);
        auto& flow = all[role == roles.end() ? std::string() : role->second];
        const auto old = before.sockets.find(inode);
        const Socket was = old == before.sockets.end() ? Socket{} : old->second;
        ++flow.open;
        flow.in += socket.in - was.in;
        flow.out += socket.out - was.out;
        flow.segmentsIn += socket.segmentsIn - was.segmentsIn;
        flow.segmentsOut += socket.segmentsOut - was.segmentsOut;
    }
    return all;
}

}  // namespace lichenlanding::scale_test
