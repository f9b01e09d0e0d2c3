#include "command/status.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include "transport/bounded_parser.hpp"

namespace lichenlanding::command {
namespace {

using namespace transport;
namespace http = boost::beast::http;
using Json = nlohmann::json;

Task<> queryStatus(const std::string& address, std::string& body) {
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(std::chrono::seconds(2));
    co_await stream.async_connect(parseAddress(address), asio::use_awaitable);
    http::request<http::empty_body> request(http::verb::post, "/api/rpc?call=status", 11);
    request.set(http::field::host, address);
    request.content_length(0);
    co_await http::async_write(stream, request, asio::use_awaitable);
    constexpr std::size_t kMaxHeaderBytes = 64 << 10;
    BoundedParser<false, http::string_body> parser({kMaxHeaderBytes});
    beast::flat_buffer buffer;
    limitReadBuffer(buffer, kMaxHeaderBytes);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    const auto response = parser.release();
    if (response.result_int() != 200)
        throw std::runtime_error("HTTP status " + std::to_string(response.result_int()));
    body = response.body();
}

std::string padRight(std::string text, std::size_t width) {
    text.resize(std::max(width, text.size()), ' ');
    return text + "  ";
}

/// Contact with the quorum, without which nothing is acknowledged; the epoch; and machine losses that the
/// settings require to be tolerated but the current members would not survive.
std::string quorumLine(const Json& quorum) {
    std::string line = quorum.at("contact").get<bool>() ? ", in contact" : ", OUT OF CONTACT";
    if (quorum.contains("epoch")) line += ", epoch " + quorum.at("epoch").dump();
    if (quorum.value("changing", false)) line += ", members changing";
    for (const auto& loss : quorum.value("not_borne", Json::array()))
        line += "\nNOT TOLERATED " + loss.dump();
    return line;
}

std::string leaseLines(const Json& leases) {
    std::string lines;
    for (const auto& [name, lease] : leases.items())
        lines += "\nlease " + name + ": " + lease.at("holder").get<std::string>() + ", term " +
                 lease.at("term").dump() + (lease.at("mine").get<bool>() ? ", held here" : "");
    return lines;
}

std::string proxyTable(const Json& proxies) {
    auto table = padRight("proxy", 28) + padRight("configuration", 13) + "at\n";
    for (const auto& [name, proxy] : proxies.items())
        table += padRight(name, 28) + padRight(proxy.at("configuration").get<std::string>(), 13) +
                 proxy.at("at").get<std::string>() + "\n";
    return table;
}

std::string podTable(const Json& pods) {
    auto table = padRight("service", 16) + padRight("version", 8) + padRight("ready", 5) + "draining\n";
    for (const auto& [service, versions] : pods.items())
        for (const auto& [version, counts] : versions.items())
            table += padRight(service, 16) + padRight(version, 8) + padRight(counts.at(0).dump(), 5) +
                     counts.at(1).dump() + "\n";
    return table;
}

std::string rolloutLines(const Json& rollouts, const Json& votes) {
    std::string lines;
    for (const auto& rollout : rollouts)
        lines += "\nrollout of " + rollout.at("service").get<std::string>() + " to " +
                 rollout.at("target").get<std::string>() + ": " + rollout.at("state").get<std::string>() +
                 ", stage " + rollout.at("stage").dump() + "\n";
    for (const auto& vote : votes) lines += "  vote " + vote.dump() + "\n";
    return lines;
}

std::string formatStatus(const Json& status) {
    return "control plane " + status.at("node").get<std::string>() + ", configuration " +
           status.at("configuration").get<std::string>() +
           (status.at("blank").get<bool>() ? ", BLANK DISK" : "") + "\nmembers " +
           status.at("members").dump() + ", connected " + status.at("reached").dump() +
           quorumLine(status.at("register")) + leaseLines(status.at("duties")) + "\n\n" +
           proxyTable(status.at("foyers")) + "\n" + podTable(status.at("pods")) +
           rolloutLines(status.at("rollouts"), status.at("votes"));
}

}  // namespace

std::string status(const std::string& address, bool json) {
    asio::io_context io{1};
    std::string body;
    std::exception_ptr failure;
    asio::co_spawn(io, queryStatus(address, body),
                   [&](std::exception_ptr exception) { failure = exception; });
    io.run();
    try {
        if (failure) std::rethrow_exception(failure);
    } catch (const std::exception& error) {
        throw std::runtime_error("status: " + address + ": " + error.what());
    }
    return json ? body + "\n" : formatStatus(Json::parse(body));
}

}  // namespace lichenlanding::command
