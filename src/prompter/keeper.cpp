#include "prompter/keeper.hpp"

#include <boost/asio/post.hpp>
#include <filesystem>

#include "company/company.hpp"
#include "cues/cues.hpp"
#include "wings/log.hpp"

namespace lichenlanding::prompter {
namespace {

using namespace wings;

constexpr Nanos runWithin = 450 * ms;    // one run at a key; then anew
constexpr Nanos unlearntFor = 200 * ms;  // an accepted value whose writer has not told its end
constexpr Nanos tendEvery = 100 * ms;
constexpr std::size_t errandsAtMost = 64;  // that wait for the disk
constexpr double bookPart = 0.6;           // of the disk that the book may take
const std::string membersNote = "members";
const reg::Change asItIs = [](const std::string& value) { return value; };

Json write(const reg::Request& request) {
    return {static_cast<int>(request.kind), request.key, cues::write(request.ballot),
            cues::writeText(request.value), cues::write(request.held)};
}

reg::Request readRequest(const Json& from) {
    return {static_cast<reg::Request::Kind>(from.at(0).get<int>()), from.at(1).get<std::string>(),
            cues::readBallot(from.at(2)), cues::readText(from.at(3)), cues::readBallot(from.at(4))};
}

Json ask(std::uint64_t id, const reg::Run& run) {
    return {
        {"t", "reg"}, {"id", id}, {"step", static_cast<int>(run.step())}, {"request", write(run.request())}};
}

}  // namespace

struct Keeper::Pending {
    Pending(reg::Run run_, asio::io_context& io) : run(std::move(run_)), bell(io) {}
    reg::Run run;
    Bell bell;
};

Keeper::Keeper(asio::io_context& io, const playbill::Boot& boot,
               std::function<void(const std::string&)> learnt, Opener opener)
    : io_(io),
      boot_(boot),
      learnt_(std::move(learnt)),
      size_(static_cast<std::size_t>(2 * std::max(boot.machinesLost, 0) + 1)),
      me_(boot.internal(boot.ip)),
      opener_(std::move(opener)) {}

Keeper::Opener Keeper::onDisk(const playbill::Boot& boot) {
    const auto folder = boot.dataDir + "/promptbook";
    const auto bytes = static_cast<std::size_t>(std::max(boot.diskMegabytes, 16) * bookPart) << 20;
    return [folder, bytes](bool anew) {
        if (anew) std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        return std::make_unique<promptbook::Promptbook>(folder, bytes);
    };
}

Keeper::~Keeper() { disk_.join(); }

std::uint32_t Keeper::number(const std::string& address) const {
    return static_cast<std::uint32_t>(company::hash("member", address));
}

void Keeper::open() {
    std::map<std::string, reg::Cell> cells;
    std::string members;
    try {
        book_ = opener_(false);
        cells = book_->cells(), members = book_->note(membersNote);
    } catch (const promptbook::DiskError& damaged) {
        // Nothing is guessed from a damaged book: it is put aside, and this copy counts as lost.
        log("book_damaged", {{"step", "open"}, {"error", damaged.what()}});
        book_.reset();
        book_ = opener_(true);
    }
    copy_ = reg::Copy(members.empty());
    for (auto& [key, cell] : cells) copy_.put(key, std::move(cell));
    std::size_t from = 0;
    while (from < members.size()) {
        const auto to = std::min(members.find(',', from), members.size());
        members_.insert(members.substr(from, to - from));
        from = to + 1;
    }
    fresh_ = members.empty() && boot_.bootstrap;
    if (fresh_) candidates_.insert(me_);
    open_ = true;
    log("book_open", {{"members", members},
                      {"blank", members.empty()},
                      {"fresh", fresh_},
                      {"keys", copy_.cells().size()}});
    form();
}

// At the system's first start: as soon as as many prompters are known as are to keep the register.
void Keeper::form() {
    if (!fresh_ || !members_.empty() || candidates_.size() < size_) return;
    members_ = candidates_;
    std::string text;
    for (const auto& member : members_) text += (text.empty() ? "" : ",") + member;
    Errand errand;
    errand.notes[membersNote] = text;
    errand.after = [this, text] {
        copy_.filled();
        fresh_ = false;
        log("formed", {{"members", text}});
    };
    enqueue(std::move(errand));
}

Json Keeper::greeting() const {
    Json members = Json::array();
    for (const auto& member : members_.empty() ? candidates_ : members_) members.push_back(member);
    return {{"members", std::move(members)}, {"formed", formed()}};
}

bool Keeper::inContact() const {
    std::size_t heard = members_.contains(me_);
    for (const auto& [address, _] : links_) heard += members_.contains(address);
    return formed() && heard >= size_ / 2 + 1;
}

Json Keeper::describe() const { return {{"members", members_}, {"contact", inContact()}}; }

Task<> Keeper::leave() { co_return; }

void Keeper::greeted(const Json& hello) {
    const auto members = hello.at("members").get<std::set<std::string>>();
    const bool theirs = hello.at("formed").get<bool>();
    if (!members_.empty()) return;
    if (theirs && members.size() == size_ && !(fresh_ && !members.contains(me_))) {
        if (!fresh_) {
            members_ = members;
        } else {
            candidates_ = members;
        }
    } else if (fresh_) {
        for (const auto& member : members)
            if (candidates_.size() < size_) candidates_.insert(member);
    }
    form();
}

void Keeper::joined(const std::string& to, std::shared_ptr<Link> link) {
    if (members_.contains(to))
        for (const auto& [id, pending] : pending_) link->send(ask(id, pending->run));
    links_[to] = std::move(link);
}
void Keeper::parted(const std::string& to) { links_.erase(to); }

const Keeper::Known& Keeper::known(const std::string& key) const {
    static const Known none;
    const auto at = known_.find(key);
    return at == known_.end() ? none : at->second;
}

void Keeper::learn(const std::string& key, const reg::Ballot& ballot, const std::string& value) {
    auto& known = known_[key];
    if (ballot <= known.ballot) return;
    const bool newer = value != known.value;
    known = {ballot, value};
    if (const auto at = acceptedAt_.find(key); at != acceptedAt_.end() && copy_.cell(key).accepted <= ballot)
        acceptedAt_.erase(at);
    if (newer) learnt_(key);
}

// ---- The own copy: one errand after the other, each on disk before its reply. ----

void Keeper::enqueue(Errand errand) {
    errands_.push_back(std::move(errand));
    if (working_) return;
    working_ = true;
    start(io_, "register copy", work());
}

Task<> Keeper::work() {
    while (!errands_.empty()) {
        auto errand = std::move(errands_.front());
        errands_.pop_front();
        if (!errand.reply) {  // cells and notes as they are
            auto cells = errand.cells;
            if (co_await write(errand.cells, errand.notes)) {
                for (auto& [key, cell] : cells) copy_.put(key, std::move(cell));
                if (errand.after) errand.after();
            } else {
                errands_.push_back(std::move(errand));
                co_await sleep(tendEvery);
            }
            continue;
        }
        std::optional<reg::Cell> changed;
        const auto reply = copy_.weigh(errand.request, changed);
        if (changed) {
            std::map<std::string, reg::Cell> cells;
            cells.emplace(errand.request.key, *changed);
            if (!co_await write(std::move(cells), std::map<std::string, std::string>())) continue;  // no word
            copy_.put(errand.request.key, *changed);
            if (changed->accepted > known(errand.request.key).ballot) acceptedAt_[errand.request.key] = now();
        }
        errand.reply(reply);
    }
    working_ = false;
}

Task<bool> Keeper::write(std::map<std::string, reg::Cell> cells, std::map<std::string, std::string> notes) {
    Bell bell(io_);
    std::string failure;
    bool ended = false;
    asio::post(disk_, [&] {
        try {
            if (!book_) book_ = opener_(false);
            book_->write(cells, notes);
        } catch (const std::exception& error) {
            failure = error.what();
            book_.reset();  // LMDB takes no more after some failures: opened anew with the next write
        }
        asio::post(io_, [&] { ended = true, bell.ring(); });
    });
    while (!ended) co_await bell.wait(now() + 3600 * second);
    if (!failure.empty()) log("disk_refused", {{"step", "write"}, {"error", failure}});
    co_return failure.empty();
}

// ---- Runs at keys. ----

Task<std::optional<std::string>> Keeper::change(std::string key, reg::Change change, Nanos within,
                                                bool look) {
    const Nanos end = now() + within;
    std::mt19937 chance(static_cast<unsigned>(now()));
    while (now() < end) {
        if (!formed()) {
            co_await sleep(20 * ms);
            continue;
        }
        const auto id = ++runs_;
        auto pending = std::make_shared<Pending>(
            reg::Run(key, size_, number(me_), above_[key], change, look,
                     reg::Cell{known(key).ballot, known(key).ballot, known(key).value}),
            io_);
        pending_[id] = pending;
        auto& run = pending->run;
        const Nanos until = std::min(end, now() + runWithin);
        for (bool sent = false; now() < until;) {
            const auto step = run.step();
            if (step == reg::Run::Step::done || step == reg::Run::Step::lost) break;
            if (!sent) {
                const auto request = run.request();
                const auto packed = Link::pack(Json{{"t", "reg"},
                                                    {"id", id},
                                                    {"step", static_cast<int>(step)},
                                                    {"request", prompter::write(request)}});
                for (const auto& [address, link] : links_)
                    if (members_.contains(address) && address != me_) link->send(packed);
                Errand errand;
                errand.request = request;
                errand.reply = [this, id, step](const reg::Reply& reply) {
                    const auto at = pending_.find(id);
                    if (at != pending_.end() && at->second->run.on(number(me_), step, reply))
                        at->second->bell.ring();
                };
                enqueue(std::move(errand));
                sent = true;
            }
            if (co_await pending->bell.wait(until)) sent = run.step() == step;
        }
        pending_.erase(id);
        above_[key] = std::max(above_[key], run.above());
        if (run.step() == reg::Run::Step::done) {
            const auto value = run.value();
            const auto ballot = run.ballot();
            if (ballot > known(key).ballot) {
                const auto packed = Link::pack(Json{{"t", "learn"},
                                                    {"key", key},
                                                    {"ballot", cues::write(ballot)},
                                                    {"value", cues::writeText(value)}});
                for (const auto& [_, link] : links_) link->send(packed);
            }
            learn(key, ballot, value);
            co_return value;
        }
        look = false;
        above_[key] = std::max(above_[key], run.ballot().round);
        co_await sleep(static_cast<Nanos>(chance() % 30 + 2) * ms);
    }
    co_return std::nullopt;
}

Task<std::optional<std::string>> Keeper::read(std::string key, Nanos within) {
    return change(
        std::move(key), [](const std::string& value) { return value; }, within);
}

bool Keeper::heard(Link& link, const Json& message) {
    const auto& kind = message.at("t").get_ref<const std::string&>();
    if (kind == "reg") {
        if (errands_.size() >= errandsAtMost)
            return true;  // the disk hangs: no word, as from one that is down
        Errand errand;
        errand.request = readRequest(message.at("request"));
        errand.reply = [to = link.weak_from_this(), id = message.at("id"),
                        step = message.at("step")](const reg::Reply& reply) {
            if (const auto open = to.lock())
                open->send(Json{{"t", "reply"},
                                {"id", id},
                                {"step", step},
                                {"blank", reply.blank},
                                {"taken", reply.taken},
                                {"spared", reply.spared},
                                {"cell", cues::write(reply.cell)}});
        };
        enqueue(std::move(errand));
    } else if (kind == "reply") {
        const auto at = pending_.find(message.at("id").get<std::uint64_t>());
        if (at == pending_.end()) return true;
        const reg::Reply reply{message.at("blank").get<bool>(), message.at("taken").get<bool>(),
                               cues::readCell(message.at("cell")), message.at("spared").get<bool>()};
        const auto step = static_cast<reg::Run::Step>(message.at("step").get<int>());
        if (at->second->run.on(number(link.peer), step, reply)) at->second->bell.ring();
    } else if (kind == "learn") {
        learn(message.at("key").get<std::string>(), cues::readBallot(message.at("ballot")),
              cues::readText(message.at("value")));
    } else if (kind == "known") {
        for (const auto& [key, ballot] : message.at("ballots").items()) {
            auto& rumour = rumoured_[key];
            rumour = std::max(rumour, cues::readBallot(ballot));
        }
    } else {
        return false;
    }
    return true;
}

// A disk that came back empty: register.hpp tells why each key is written anew by the others first.
Task<> Keeper::rejoin() {
    Errand errand;
    for (const auto& key : keys) {
        std::optional<std::string> value;
        while (!value) value = co_await change(key, asItIs, second, false);
        const auto& known = this->known(key);
        errand.cells[key] = {known.ballot, known.ballot, known.value};
    }
    for (const auto& member : members_) {
        auto& text = errand.notes[membersNote];
        text += (text.empty() ? "" : ",") + member;
    }
    errand.after = [this] {
        copy_.filled();
        log("rejoined", {{"keys", copy_.cells().size()}});
    };
    enqueue(std::move(errand));
}

Task<> Keeper::tend() {
    bool rejoining = false;
    std::set<std::string> first(keys.begin(), keys.end());  // nothing is known yet at a start
    for (;;) {
        co_await sleep(tendEvery);
        if (!open_ || !formed()) continue;
        if (copy_.blank() && !fresh_ && !std::exchange(rejoining, true)) start(io_, "rejoin", rejoin());
        for (const auto& key : keys) {
            const auto accepted = acceptedAt_.find(key);
            const bool unlearnt = accepted != acceptedAt_.end() && now() - accepted->second > unlearntFor;
            const auto rumour = rumoured_.find(key);
            const bool behind = rumour != rumoured_.end() && rumour->second > known(key).ballot;
            if (!unlearnt && !behind && !first.contains(key)) continue;
            const auto value = co_await read(key, second);
            if (!value) continue;
            first.erase(key);
            if (const auto at = acceptedAt_.find(key);
                at != acceptedAt_.end() && now() - at->second > unlearntFor)
                acceptedAt_.erase(at);
        }
    }
}

}  // namespace lichenlanding::prompter
