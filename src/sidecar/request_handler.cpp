#include "sidecar/request_handler.hpp"

#include "sidecar/messages.hpp"

namespace lichenlanding::net {

struct Passage::Sending {
    Sending(Passage& passage_, Place& place_, Nanos timeout_)
        : passage(passage_), place(place_), timeout(timeout_) {}
    Sending(const Sending&) = delete;

    Passage& passage;
    Place& place;
    Nanos timeout;
    Return back;

    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> life) {
        passage.line_ = passage.host_.upstream().send(place, passage.callFor(timeout), timeout,
                                                      [this, life](Return came) {
                                                          back = std::move(came);
                                                          life.resume();
                                                      });
    }
    Return await_resume() {
        passage.line_ = nullptr;
        return std::move(back);
    }
};

Passage::Passage(Host& host, const Settings& settings, std::unique_ptr<Caller> caller)
    : host_(host), settings_(settings), caller_(std::move(caller)) {}

Task Passage::life() {
    if (const int code = refusal()) {
        log(Kind::client, "answered " + std::to_string(code) + " to what cannot be a hit");
        caller_->refuse(code);
        host_.passed(*this);
        co_return;
    }
    caller_->onGone([this] {
        host_.left();
        host_.decide([this](Balance& balance) { balance.hangup(hit_); });
    });
    host_.decide([this](Balance& balance) { balance.hit(hit_); });
    // The decisions have asked for a forward, or have bounced the hit or let it err.
    while (const auto timeout = std::exchange(next_, std::nullopt)) {
        auto& forward = hit_.forwards.back();
        // It has a name, since g++ 12 copies an awaited temporary bit by bit and then frees it twice.
        Sending sending(*this, static_cast<Place&>(*forward.pod), *timeout);
        const auto back = co_await sending;
        const auto outcome = outcomeOf(back.ending);
        const bool delivered = outcome == Outcome::delivered && !hit_.ended;
        if (delivered) caller_->answer(200, back.body, back.type);
        host_.decide([&](Balance& balance) {
            if (const auto holds = readHolds(back.load); holds >= 0) balance.report(*forward.pod, holds);
            balance.outcome(forward, outcome, host_.now() - forward.sent, delivered || hit_.ended);
        });
    }
    host_.passed(*this);
}

int Passage::refusal() {
    const auto id = caller_->header(headers::id);
    const auto group = caller_->header(headers::group);
    const auto budget = readBudget(caller_->header(headers::budget).value_or(""));
    if (!id || id->size() > 256 || !group || !budget) return 400;
    for (const auto& known : settings_.groups)
        if (known.name == *group) hit_.group = &known;
    if (!hit_.group) return 404;
    const bool repeatable = hit_.group->effect == Effect::repeatable;
    if (caller_->method() != (repeatable ? EVHTTP_REQ_GET : EVHTTP_REQ_POST)) return 405;
    mark_ = caller_->header(headers::mark).value_or("");
    if (hit_.group->effect == Effect::tagged && mark_.empty()) return 400;
    if (!host_.opens(*id)) return 409;  // another client's, and open
    hit_.id = *id;
    hit_.key = caller_->header(headers::key).value_or("");
    // The answer is to leave before the client's wait is over: one grain of the deployment's clock before,
    // and never after half of a wait that is shorter than that.
    hit_.deadline = host_.now() + std::max(*budget - settings_.grain, *budget / 2);
    hit_.work = readWork(caller_->header(headers::work).value_or(""));
    hit_.repeated = caller_->header(headers::again) == "1";
    return 0;
}

Call Passage::callFor(Nanos timeout) const {
    Call call{caller_->method(), caller_->path(), {}, caller_->body()};
    call.headers = {{"Host", caller_->header("Host").value_or("-")},
                    {headers::id, hit_.id},
                    {headers::group, hit_.group->name},
                    {headers::budget, budgetText(timeout)}};
    if (!mark_.empty()) call.headers.emplace_back(headers::mark, mark_);
    if (const auto type = caller_->header("Content-Type")) call.headers.emplace_back("Content-Type", *type);
    return call;
}

void Passage::cancel(int shot) {
    const bool out = shot >= 0 && shot < static_cast<int>(hit_.forwards.size()) &&
                     hit_.forwards[static_cast<std::size_t>(shot)].out;
    if (out && line_) line_->connection.end(Ending::calledOff);
}

}  // namespace lichenlanding::net
