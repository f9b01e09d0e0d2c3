// The operator's calls over a scripted register: one value a key, changed in one sequence as the real one's
// ballots are, whose answers may be held back, or lost before or after the value is in force.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/beast/http/read.hpp>
#include <deque>

#include "prompter/operator_calls.hpp"
#include "transcript.hpp"
#include "wings/loop.hpp"

namespace control_stage {

using namespace lichenlanding;
using namespace lichenlanding::wings;
using prompter::OperatorCalls;
namespace http = boost::beast::http;

struct ScriptedRegister {
    enum class Fate { answered, lostBefore, lostAfter };

    explicit ScriptedRegister(asio::io_context& io_) : io(io_) {}
    OperatorCalls::Register its() {
        return {[this] { return contact; },
                [this](std::string key, reg::Change change, Nanos within) {
                    return run(std::move(key), std::move(change), within);
                },
                [this](std::string key, Nanos within) {
                    return run(
                        std::move(key), [](const std::string& held) { return held; }, within);
                }};
    }
    Task<std::optional<std::string>> run(std::string key, reg::Change change, Nanos) {
        ++asked;
        auto fate = Fate::answered;
        if (!fates.empty()) fate = fates.front(), fates.pop_front();
        while (held) co_await sleep(ms);
        if (fate == Fate::lostBefore) co_return std::nullopt;
        auto& value = values[key];
        value = change(value);
        if (fate == Fate::lostAfter) co_return std::nullopt;
        co_return value;
    }

    asio::io_context& io;
    bool contact = true, held = false;
    std::deque<Fate> fates;  // of the runs to come; answered where there is none
    std::size_t asked = 0;
    std::map<std::string, std::string> values;
};

inline std::string configuration(const std::string& number, const std::string& path = "/a/") {
    return R"({"config_version":")" + number +
           R"(","resources":[{"resource_type":"route_table","metadata":{"name":"r"},"spec":{"hostname":"h","path_prefix":")" +
           path +
           R"(","route_class":"idempotent","timeout":"2s","target_latency":"1s","service_name":"s"}},{"resource_type":"service_table","metadata":{"name":"s"},"spec":{}}]})";
}
inline std::string rollout(const std::string& target, const std::string& deadline) {
    return R"({"service_name":"s","target_version":")" + target + R"(","deadline":")" + deadline + R"("})";
}

class ControlStage {
  public:
    explicit ControlStage(bool metrics = false)
        : calls(
              io, reg.its(),
              [] {
                  return Json{{"node", "scripted"}};
              },
              metrics) {}
    template <typename Done>
    void until(Done done) {
        for (int turns = 0; !done(); ++turns) {
            CPPUNIT_ASSERT_MESSAGE("nothing happens any more", io.run_one_for(std::chrono::seconds(8)) > 0);
            CPPUNIT_ASSERT(turns < 200'000);
        }
    }
    OperatorCalls::Response ask(const std::string& target, const std::string& body,
                                http::verb method = http::verb::post) {
        OperatorCalls::Request request(method, target, 11);
        request.body() = body;
        OperatorCalls::Response response;
        bool done = false;
        start(io, "ask",
              [](OperatorCalls& calls_, OperatorCalls::Request request_, OperatorCalls::Response& response_,
                 bool& done_) -> Task<> {
                  response_ = co_await calls_.answer(request_);
                  done_ = true;
              }(calls, request, response, done));
        until([&] { return done; });
        return response;
    }
    OperatorCalls::Response call(const std::string& name, const std::string& body = "") {
        return ask("/api/rpc?call=" + name, body);
    }
    unsigned status(const std::string& name, const std::string& body = "") {
        return call(name, body).result_int();
    }

    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    ScriptedRegister reg{io};
    OperatorCalls calls;
};

}  // namespace control_stage
