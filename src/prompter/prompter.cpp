#include "prompter/prompter.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "callboard/callboard.hpp"
#include "company/company.hpp"
#include "cues/cues.hpp"
#include "playbill/playbill.hpp"
#include "prompter/keeper.hpp"
#include "text.hpp"
#include "troupe/troupe.hpp"
#include "verdict/stages.hpp"
#include "wings/log.hpp"
#include "wings/pack.hpp"

namespace lichenlanding::prompter {
namespace {

using namespace wings;
namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr Nanos answerWithin = 900 * ms;  // callers move on after a second
constexpr Nanos pollEvery = 500 * ms, pollWithin = 700 * ms, pollPause = 300 * ms;
constexpr Nanos pollAlone = 1200 * ms;  // a start without links waits so long before it takes a duty
constexpr Nanos steerEvery = 200 * ms;
constexpr Nanos tellKnownEvery = 500 * ms;
constexpr std::size_t endedKept = 8;
constexpr Nanos rosterAfter = 400 * ms;
constexpr Nanos compareEvery = 5 * second;
constexpr double listPart = 0.7;  // of the platform's calls a second that the list may take
constexpr std::uint64_t bodyAtMost = 96 << 20;

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

struct Foyer {
    std::shared_ptr<Link> link;
    std::string address;
    std::uint64_t life = 0;
    std::uint32_t applied = 0;       // configuration acknowledged
    std::set<std::string> missedBy;  // foyers that watch it and have lost it
};

struct Vote {
    Verdict verdict = Verdict::none;
    int stage = 0;
    Nanos at = 0;
    Json about;
};

struct Prompter {
    Prompter(const playbill::Boot& boot_, bool metrics_)
        : boot(boot_),
          metrics(metrics_),
          keeper(
              io, boot, [this](const std::string& key) { learnt(key); }, Keeper::onDisk(boot_)),
          control(listen(io, boot.control)),
          peers(listen(io, boot.internal(boot.ip))) {
        owner = std::make_shared<Link::Owner>();
        owner->greet = [this](Link& link) { return greet(link); };
        owner->heard = [this](Link& link, const Json& message) { heard(link, message); };
        owner->closed = [this](Link& link) { closed(link); };
    }

    // ---- Links. ----

    std::string me() const { return boot.internal(boot.ip); }

    Json greet(Link&) {
        auto hello = keeper.greeting();
        hello.update({{"t", "hello"}, {"kind", "prompter"}, {"name", boot.name}, {"at", me()}});
        return hello;
    }

    void dial(const std::string& address) {
        auto& dialer = dialers[address];
        if (dialer || address == me()) return;
        dialer = std::make_shared<Dialer>(io, address, owner);
        dialer->go();
    }

    void dialSeeds() {
        for (const auto& seed : boot.seeds) dial(boot.internal(hostOf(seed)));
    }

    void heard(Link& link, const Json& message) {
        const auto& kind = message.at("t").get_ref<const std::string&>();
        if (kind == "hello") {
            hello(link, message);
        } else if (keeper.heard(link, message)) {
        } else if (kind == "want" || kind == "digest") {
            board.heard(message, callboard::Callboard::From::follower, now(),
                        [&](Json reply) { link.send(reply); });
        } else if (kind == "lost") {
            const auto at = foyers.find(message.at("name").get<std::string>());
            if (at != foyers.end()) at->second.missedBy.insert(link.peer);
        } else if (kind == "ack") {
            if (const auto at = foyers.find(link.peer); at != foyers.end())
                message.at("configuration").get_to(at->second.applied);
        } else if (kind == "vote") {
            const auto key =
                message.at("service").get<std::string>() + "\n" + message.at("target").get<std::string>();
            auto& vote = votes[key][message.at("from").get<std::string>()];
            vote = {static_cast<Verdict>(message.at("verdict").get<int>()), message.at("stage").get<int>(),
                    now(), message};
        }
    }

    void hello(Link& link, const Json& message) {
        link.kind = message.at("kind").get<std::string>();
        const auto at = message.at("at").get<std::string>();
        if (link.kind == "prompter") {
            link.peer = at;
            const auto dialer = dialers.find(at);
            if (dialer != dialers.end() && dialer->second && dialer->second->link().get() == &link)
                keeper.joined(at, link.shared_from_this());
            keeper.greeted(message);
            for (const auto& member : message.at("members")) dial(member.get<std::string>());
            return;
        }
        link.peer = message.at("name").get<std::string>();
        foyers[link.peer] = {link.shared_from_this(), at, message.at("life").get<std::uint64_t>(), 0, {}};
        link.send(board.digest());
        roster();
    }

    void closed(Link& link) {
        if (link.kind == "prompter") {
            const auto dialer = dialers.find(link.peer);
            if (dialer != dialers.end() && dialer->second && !dialer->second->link())
                keeper.parted(link.peer);
        } else if (const auto at = foyers.find(link.peer);
                   at != foyers.end() && at->second.link.get() == &link) {
            foyers.erase(at);
            roster();
        }
    }

    // ---- Cues. ----

    // A register's value is the version's eight digits and the body as it was sent, squeezed.
    static std::uint32_t versionOf(const std::string& value) {
        std::uint32_t version = 0;
        std::from_chars(value.data(), value.data() + std::min<std::size_t>(value.size(), 8), version, 16);
        return version;
    }

    void tellAll(const Json& message) {
        const auto packed = Link::pack(message);
        for (const auto& [_, foyer] : foyers) foyer.link->send(packed);
    }

    // One word for all that came and went of late: at a start a whole fleet says hello at once.
    void roster() {
        if (std::exchange(rosterDue, true)) return;
        start(io, "roster", tellRoster());
    }

    Task<> tellRoster() {
        co_await sleep(rosterAfter);
        rosterDue = false;
        Json names = Json::object();
        for (const auto& [name, foyer] : foyers) names[name] = foyer.address;
        const auto packed = Link::pack(Json{{"t", "roster"}, {"foyers", std::move(names)}});
        for (const auto& [_, foyer] : foyers) foyer.link->send(packed);
    }

    void learnt(const std::string& key) {
        const auto& value = keeper.known(key).value;
        if (key == configurationKey && value.size() > 8) {
            board.configuration(versionOf(value), value.substr(8));
            tellAll(board.cue());
        } else if (key == rolloutsKey && startedReading) {
            pinRollouts();
        }
    }

    void pinRollouts() {
        const auto& text = keeper.known(rolloutsKey).value;
        std::int64_t number = 0;
        for (const auto& rollout : cues::readRollouts(text)) number = std::max(number, rollout.number);
        board.rollouts(number, text);
        tellAll(board.order());
    }

    // Before rollouts have been read from a majority nothing is said of them.
    Task<> readFirst() {
        for (;;) {
            const auto value = co_await keeper.read(rolloutsKey, second);
            if (value) break;
        }
        startedReading = true;
        pinRollouts();
    }

    Task<> tellKnown() {
        for (;;) {
            co_await sleep(tellKnownEvery);
            Json ballots = Json::object();
            for (const auto& key : keys)
                if (const auto& known = keeper.known(key); known.ballot.round > 0)
                    ballots[key] = cues::write(known.ballot);
            const auto packed = Link::pack(Json{{"t", "known"}, {"ballots", std::move(ballots)}});
            for (const auto& [address, dialer] : dialers)
                if (dialer)
                    if (auto link = dialer->link()) link->send(packed);
        }
    }

    // ---- The platform's list, by one prompter. ----

    std::vector<std::string> alive() const {
        std::vector<std::string> all{me()};
        for (const auto& [address, dialer] : dialers)
            if (dialer && dialer->link() && keeper.members().contains(address)) all.push_back(address);
        return all;
    }

    bool onDuty(const char* duty) const {
        const auto all = alive();
        if (all.size() == 1 && boot.machinesLost > 0 && now() - began < pollAlone) return false;
        return company::chosen(all, duty, 1).front() == me();
    }

    // Between two calls, if they are to stay within the platform's rate for all.
    Nanos callGap() const {
        return boot.listPerSecond > 0 ? static_cast<Nanos>(1e9 / (boot.listPerSecond * listPart)) : 0;
    }

    Task<> poll() {
        auto stream = std::make_shared<beast::tcp_stream>(io);
        beast::flat_buffer buffer;
        bool connected = false;
        for (;;) {
            if (!onDuty("list")) {
                board.unlisted();
                co_await sleep(pollPause / 3);
                continue;
            }
            const Nanos started = now();
            const auto asked = wallMillis();
            std::vector<troupe::Member> members;
            std::string token;
            bool whole = false;
            int calls_ = 0;
            try {
                for (int page = 0; page < 1000; ++page) {
                    stream->expires_after(span(pollWithin));
                    if (!connected) {
                        co_await stream->async_connect(endpoint(boot.list), asio::use_awaitable);
                        tune(stream->socket(), 2 * second);
                        connected = true, buffer.clear();
                    }
                    http::request<http::empty_body> request(
                        http::verb::get, token.empty() ? "/instances" : "/instances?page_token=" + token, 11);
                    request.set(http::field::host, boot.list);
                    co_await http::async_write(*stream, request, asio::use_awaitable);
                    http::response_parser<http::string_body> parser;
                    parser.body_limit(bodyAtMost);
                    co_await http::async_read(*stream, buffer, parser, asio::use_awaitable);
                    const auto& response = parser.get();
                    if (!response.keep_alive()) connected = false, stream->close();
                    ++calls_, ++listCalls;
                    if (response.result_int() == 429) {
                        ++listRefused;  // the same page again, when there is room
                        log("list_refused", {{"step", "list"}, {"peer", boot.list}, {"status", 429}});
                        --page;
                        co_await sleep(callGap() * 2);
                        continue;
                    }
                    if (response.result_int() != 200)
                        throw std::runtime_error("status " + std::to_string(response.result_int()));
                    const auto body = Json::parse(response.body());
                    for (const auto& entry : body.at("instance_list")) members.push_back(cues::listed(entry));
                    const auto next = body.find("next_token");
                    whole = next == body.end() || next->is_null();
                    if (whole) break;
                    token = next->get<std::string>();
                    co_await sleep(callGap() / 2);
                }
            } catch (const std::exception& error) {
                log("list_failed", {{"step", "list"}, {"peer", boot.list}, {"error", error.what()}});
                stream->close();
                stream = std::make_shared<beast::tcp_stream>(io);
                connected = false, whole = false;
            }
            if (whole) took(members, asked);
            const Nanos every = std::max(whole ? pollEvery : pollPause, callGap() * calls_);
            co_await sleep(std::max(started + every - now(), 20 * ms));
        }
    }

    void took(const std::vector<troupe::Member>& members, std::int64_t asked) {
        const bool first = !board.listed();
        const auto change = board.list(members, asked);
        if (!change.is_null()) tellAll(change);
        // Now and then all of it is compared: what was missed by any way is mended.
        if (!first && now() - compared < compareEvery) return;
        compared = now();
        tellAll(board.digest());
    }

    // ---- Rollouts: votes counted, stages kept. ----

    Task<> steer() {
        for (;;) {
            co_await sleep(steerEvery);
            if (!startedReading || !onDuty("rollouts")) continue;
            for (const auto& rollout : cues::readRollouts(keeper.known(rolloutsKey).value))
                if (rollout.running()) co_await steer(rollout);
        }
    }

    Task<> steer(cues::Rollout rollout) {
        const auto key = rollout.service + "\n" + rollout.target;
        std::vector<std::string> names;
        for (const auto& [name, _] : foyers) names.push_back(name);
        const auto chosen = company::chosen(names, key, verdict::voterCount);
        verdict::Ballots ballots;
        ballots.voters = chosen.size();
        Json said = Json::array();
        for (const auto& voter : chosen) {
            const auto at = votes[key].find(voter);
            if (at == votes[key].end() || now() - at->second.at > verdict::voteLife) continue;
            ballots.on += at->second.verdict == Verdict::on && at->second.stage == rollout.stage;
            ballots.back += at->second.verdict == Verdict::back;
            said.push_back(at->second.about);
        }
        const auto elapsed = wallMillis() - rollout.began;
        const auto move =
            verdict::nextMove(rollout.stage, ballots, elapsed, wallMillis() - rollout.moved, rollout.term);
        if (!move) co_return;
        auto to = rollout;
        if (move->completed || move->rolledBack) to.state = move->completed ? "completed" : "rolled_back";
        else ++to.stage, to.moved = wallMillis();
        const char* why = move->why;
        log("rollout", {{"service", to.service},
                        {"target", to.target},
                        {"state", to.state},
                        {"stage", to.stage},
                        {"why", why},
                        {"elapsed_ms", elapsed},
                        {"votes", said}});
        // A local, not a temporary of the awaited call: GCC 12 destroys such a one twice.
        const reg::Change decide = [rollout, to](const std::string& value) {
            auto all = cues::readRollouts(value);
            std::int64_t number = 0;
            for (const auto& one : all) number = std::max(number, one.number);
            bool changed = false;
            for (auto& one : all) {
                // What is decided stays decided, whoever else steers.
                if (one.service != to.service || one.target != to.target || !one.running() ||
                    one.stage != rollout.stage)
                    continue;
                one = to, one.number = number + 1, changed = true;
            }
            return changed ? cues::write(all) : value;
        };
        co_await keeper.change(rolloutsKey, decide, answerWithin);
    }

    // ---- The operator's calls. ----

    static Response respond(int status, std::string body, Nanos retryAfter = 0) {
        Response response(static_cast<http::status>(status), 11);
        response.set(http::field::content_type, "application/json");
        if (retryAfter > 0)
            response.set(http::field::retry_after, std::to_string(static_cast<double>(retryAfter) / 1e9));
        response.body() = std::move(body);
        return response;
    }
    static Response wrong(int status, const std::string& what) {
        return respond(status, Json{{"error", what}}.dump(-1, ' ', false, Json::error_handler_t::replace));
    }
    static Response later(const char* what) {
        auto response = wrong(503, what);
        response.set(http::field::retry_after, "0.2");
        return response;
    }

    Task<Response> answer(const Request& request) {
        const auto target = view(request.target());
        const auto question = target.find('?');
        if (metrics && target == "/metrics") co_return metricsPage();
        if (target.substr(0, question) != "/api/rpc") co_return wrong(404, "path: only /api/rpc");
        if (request.method() != http::verb::post) co_return wrong(405, "method: must be POST");
        std::string call, of;
        if (question != target.npos)
            for (const auto part : split(target.substr(question + 1), '&')) {
                if (part.starts_with("call=")) call = part.substr(5);
                if (part.starts_with("of=")) of = part.substr(3);
            }
        if (call == "config.replace") co_return co_await replace(request.body());
        if (call == "config.read") {
            const auto value = co_await keeper.read(configurationKey, answerWithin);
            if (!value) co_return later("register: no majority");
            if (value->empty()) co_return later("no configuration yet");
            co_return respond(200, unsqueeze(std::string_view(*value).substr(8)));
        }
        if (call == "status")
            co_return respond(200, status().dump(-1, ' ', false, Json::error_handler_t::replace));
        if (call == "rollouts.begin") co_return co_await begin(request.body());
        if (call == "rollouts.read") {
            const auto value = co_await keeper.read(rolloutsKey, answerWithin);
            if (!value) co_return later("register: no majority");
            std::optional<cues::Rollout> newest;
            for (auto& rollout : cues::readRollouts(*value))
                if (rollout.service == of && (!newest || rollout.began >= newest->began)) newest = rollout;
            if (!newest) co_return wrong(404, "of: no rollout of " + of);
            co_return respond(200, Json{{"state", newest->state}, {"target_version", newest->target}}.dump());
        }
        co_return wrong(404, "call: no such call: " + call);
    }

    // What this prompter knows; nothing is asked of others.
    Json status() const {
        const auto& known = keeper.known(configurationKey).value;
        Json told{
            {"node", boot.name},
            {"blank", keeper.blank()},
            {"members", keeper.members().size()},
            {"reached", keeper.reached()},
            {"configuration", known.substr(0, std::min<std::size_t>(known.size(), 8))},
            {"duty", Json::array()},
            {"foyers", Json::object()},
            {"pods", Json::object()},
            {"rollouts",
             Json::parse(keeper.known(rolloutsKey).value.empty() ? "[]" : keeper.known(rolloutsKey).value)},
            {"votes", Json::array()},
            {"calls", calls},
            {"list_calls", listCalls},
            {"list_refused", listRefused}};
        for (const auto* duty : {"list", "rollouts"})
            if (onDuty(duty)) told["duty"].push_back(duty);
        for (const auto& [name, foyer] : foyers)
            told["foyers"][name] = {{"at", foyer.address},
                                    {"life", foyer.life},
                                    {"missed_by", foyer.missedBy.size()},
                                    {"configuration", playbill::versionText(foyer.applied)}};
        for (const auto& [_, member] : board.troupe().members()) {
            auto& counts = told["pods"][member.service][member.version];
            if (counts.is_null()) counts = {0, 0};
            auto& count = counts[member.draining ? 1 : 0];
            count = count.get<int>() + 1;
        }
        for (const auto& [_, byVoter] : votes)
            for (const auto& [voter, vote] : byVoter)
                if (now() - vote.at < verdict::voteLife) told["votes"].push_back(vote.about);
        return told;
    }

    Response metricsPage() const {
        const auto told = status();
        std::uint32_t behind = 0;
        for (const auto& [_, foyer] : told.at("foyers").items())
            behind += foyer.at("configuration") != told.at("configuration");
        std::string page;
        const auto add = [&](const char* name, const char* kind, const Json& value) {
            page += std::string("# TYPE lichenlanding_") + name + " " + kind + "\nlichenlanding_" + name +
                    " " + value.dump() + "\n";
        };
        add("members_reached", "gauge", told.at("reached"));
        add("disk_blank", "gauge", told.at("blank").get<bool>() ? 1 : 0);
        add("foyers", "gauge", told.at("foyers").size());
        add("foyers_behind", "gauge", behind);
        add("pods", "gauge", board.troupe().members().size());
        add("rollouts", "gauge", told.at("rollouts").size());
        add("operator_calls_total", "counter", calls);
        add("list_calls_total", "counter", listCalls);
        add("list_refused_total", "counter", listRefused);
        auto response = respond(200, std::move(page));
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        return response;
    }

    Task<Response> replace(const std::string& body) {
        std::string value;
        try {
            value = playbill::versionText(playbill::Playbill::read(body).version) + squeeze(body);
        } catch (const playbill::Refusal& refusal) {
            log("configuration_refused", {{"error", refusal.what()}});
            co_return respond(
                400, Json{{"errors", refusal.mistakes}}.dump(-1, ' ', false, Json::error_handler_t::replace));
        }
        const auto version = versionOf(value);
        const reg::Change put = [&](const std::string& now_) {
            return now_.empty() || versionOf(now_) < version ? value : now_;
        };
        const auto held = co_await keeper.change(configurationKey, put, answerWithin);
        if (!held) co_return later("register: no majority has synced it");
        log("configuration", {{"version", playbill::versionText(version)}, {"held", held->substr(0, 8)}});
        co_return respond(200, Json{{"config_version", held->substr(0, 8)}}.dump());
    }

    Task<Response> begin(const std::string& body) {
        const auto told = Json::parse(body, nullptr, false);
        cues::Rollout order;
        try {
            told.at("service_name").get_to(order.service);
            told.at("target_version").get_to(order.target);
            order.term = playbill::span(told.at("deadline").get<std::string>()) / ms;
        } catch (const std::exception&) {
            co_return wrong(400, "must hold service_name, target_version and deadline (\"12s\")");
        }
        order.began = wallMillis();
        const reg::Change add = [&](const std::string& value) {
            auto all = cues::readRollouts(value);
            std::int64_t number = 0;
            for (const auto& one : all) {
                number = std::max(number, one.number);
                if (one.service == order.service && one.target == order.target) return value;  // sent again
            }
            auto added = order;
            added.number = number + 1;
            all.push_back(added);
            return cues::write(all);
        };
        const auto held = co_await keeper.change(rolloutsKey, add, answerWithin);
        if (!held) co_return later("register: no majority has synced it");
        log("rollout", {{"service", order.service},
                        {"target", order.target},
                        {"state", "in_progress"},
                        {"term_ms", order.term}});
        co_return respond(200, "{}");
    }

    Task<> caller(tcp::socket socket) {
        beast::flat_buffer buffer;
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(bodyAtMost);
            parser.header_limit(64 << 10);
            Code code;
            co_await http::async_read(socket, buffer, parser, told(code));
            if (code) {
                if (code == http::error::body_limit || code == http::error::header_limit ||
                    code == http::error::bad_method) {
                    auto response = wrong(code == http::error::body_limit ? 413 : 400, code.message());
                    response.keep_alive(false), response.prepare_payload();
                    co_await http::async_write(socket, response, told(code));
                }
                co_return;
            }
            const auto request = parser.release();
            ++calls;
            auto response = co_await answer(request);
            response.keep_alive(request.keep_alive());
            response.prepare_payload();
            co_await http::async_write(socket, response, told(code));
            if (code || !response.keep_alive()) co_return;
        }
    }

    Task<> serveControl() {
        while (control.is_open()) {
            Code code;
            auto socket = co_await control.async_accept(told(code));
            if (code == asio::error::operation_aborted) co_return;
            if (!code) start(io, "caller", caller(std::move(socket)));
        }
    }

    void run() {
        signals(
            io,
            [this] {
                start(io, "leave", [](Prompter& self) -> Task<> {
                    co_await self.keeper.leave();
                    log("left", {});
                    self.io.stop();
                }(*this));
            },
            [this] {
                try {
                    boot = playbill::Boot::fromEnvironment();
                    dialSeeds();
                    log("settings_read", {});
                } catch (const std::exception& wrong_) {
                    log("settings_refused", {{"step", "reload"}, {"error", wrong_.what()}});
                }
            });
        log("start", {});
        keeper.open();
        dialSeeds();
        for (const auto& member : keeper.members()) dial(member);
        start(io, "links", serveLinks(io, peers, owner));
        start(io, "control", serveControl());
        start(io, "register", keeper.tend());
        start(io, "register", readFirst());
        start(io, "known", tellKnown());
        start(io, "list", poll());
        start(io, "rollouts", steer());
        io.run();
    }

    playbill::Boot boot;
    const bool metrics;
    asio::io_context io{1};
    Keeper keeper;
    tcp::acceptor control, peers;
    std::shared_ptr<Link::Owner> owner;
    std::map<std::string, std::shared_ptr<Dialer>> dialers;    // by address
    std::map<std::string, Foyer> foyers;                       // by name
    std::map<std::string, std::map<std::string, Vote>> votes;  // by rollout and voter
    callboard::Callboard board{{}};
    std::uint64_t calls = 0, listCalls = 0, listRefused = 0;
    Nanos compared = 0;
    const Nanos began = now();
    bool startedReading = false, rosterDue = false;
};

}  // namespace

void run(const playbill::Boot& boot, bool metrics) {
    openLog(boot.name);
    Prompter(boot, metrics).run();
}

}  // namespace lichenlanding::prompter
