#include "command/status.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include "transport/event_loop.hpp"

namespace lichenlanding::command {
namespace {

using namespace transport;
namespace http = boost::beast::http;
using Json = nlohmann::json;

Task<> ask(const std::string& address, std::string& body) {
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(std::chrono::seconds(2));
    co_await stream.async_connect(parseAddress(address), asio::use_awaitable);
    http::request<http::empty_body> request(http::verb::post, "/api/rpc?call=status", 11);
    request.set(http::field::host, address);
    request.content_length(0);
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(stream, buffer, response, asio::use_awaitable);
    if (response.result_int() != 200)
        throw std::runtime_error("status " + std::to_string(response.result_int()));
    body = response.body();
}

std::string padded(std::string text, std::size_t width) {
    text.resize(std::max(width, text.size()), ' ');
    return text + "  ";
}

// Whether it may confirm anything, as of which epoch, and what a loss would take that the settings allow.
std::string registerLine(const Json& told) {
    std::string line = told.at("contact").get<bool>() ? ", in contact" : ", OUT OF CONTACT";
    if (told.contains("epoch")) line += ", epoch " + told.at("epoch").dump();
    if (told.value("changing", false)) line += ", members changing";
    for (const auto& one : told.value("not_borne", Json::array())) line += "\nNOT BORNE " + one.dump();
    return line;
}

std::string dutyLines(const Json& duties) {
    std::string lines;
    for (const auto& [name, duty] : duties.items())
        lines += "\nduty " + name + ": " + duty.at("holder").get<std::string>() + ", term " +
                 duty.at("term").dump() + (duty.at("mine").get<bool>() ? ", held here" : "");
    return lines;
}

}  // namespace

std::string status(const std::string& address, bool json) {
    asio::io_context io{1};
    std::string body;
    std::exception_ptr failure;
    asio::co_spawn(io, ask(address, body), [&](std::exception_ptr thrown) { failure = thrown; });
    io.run();
    if (failure) try {
            std::rethrow_exception(failure);
        } catch (const std::exception& error) {
            throw std::runtime_error("status: " + address + ": " + error.what());
        }
    if (json) return body + "\n";
    const auto told = Json::parse(body);
    std::string all = "prompter " + told.at("node").get<std::string>() + ", configuration " +
                      told.at("configuration").get<std::string>() +
                      (told.at("blank").get<bool>() ? ", BLANK DISK" : "") + "\nmembers " +
                      told.at("members").dump() + ", reached " + told.at("reached").dump() +
                      registerLine(told.at("register")) + dutyLines(told.at("duties")) + "\n\n" +
                      padded("foyer", 28) + padded("configuration", 13) + "at\n";
    for (const auto& [name, proxy] : told.at("foyers").items())
        all += padded(name, 28) + padded(proxy.at("configuration").get<std::string>(), 13) +
               proxy.at("at").get<std::string>() + "\n";
    all += "\n" + padded("service", 16) + padded("version", 8) + padded("ready", 5) + "draining\n";
    for (const auto& [service, versions] : told.at("pods").items())
        for (const auto& [version, counts] : versions.items())
            all += padded(service, 16) + padded(version, 8) + padded(counts.at(0).dump(), 5) +
                   counts.at(1).dump() + "\n";
    for (const auto& rollout : told.at("rollouts"))
        all += "\nrollout of " + rollout.at("service").get<std::string>() + " to " +
               rollout.at("target").get<std::string>() + ": " + rollout.at("state").get<std::string>() +
               ", stage " + rollout.at("stage").dump() + "\n";
    for (const auto& vote : told.at("votes")) all += "  vote " + vote.dump() + "\n";
    return all;
}

}  // namespace lichenlanding::command
