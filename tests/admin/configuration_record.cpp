// Orders against what is in force. Each rule is also explored: orders of the same and of other numbers sent
// twice, through any control node, in every sequence of ballots, with answers lost and writes lost or done
// late. Each invariant is shown to be able to fail, the first by what answered before there was a history.
#include "admin/configuration_record.hpp"

#include <functional>
#include <iostream>
#include <random>
#include <set>
#include <unordered_set>

#include "admin/rollout_requests.hpp"
#include "config/configuration.hpp"
#include "consensus/consensus.hpp"
#include "support/transcript.hpp"
#include "transport/compression.hpp"

using namespace lichenlanding;
using namespace lichenlanding::admin;

namespace {

enum class Bug { none, numberAlone, forgetsWhatWasReplaced, refusesLower, tellsBeforeInForce };

struct Sent {
    std::uint32_t number;
    char body;
};

struct Model {
    std::vector<Sent> orders;
    std::size_t times = 2;  // that each is sent
    Bug bug = Bug::none;

    std::string value;
    std::vector<std::size_t> left;
    std::map<std::uint32_t, std::set<char>> acknowledged, refused;
    std::set<std::uint32_t> everAcknowledged;
    std::string broken;

    Model(std::vector<Sent> orders_, Bug bug_) : orders(std::move(orders_)), bug(bug_) {
        left.assign(orders.size(), times);
    }
    ConfigurationRequest at(std::size_t which) const {
        return makeRequest(orders[which].number, std::string(1, orders[which].body));
    }
    // How one sending may end: answered; answered but the answer lost; no majority and never in force.
    enum class End { answered, answerLost, writeLost };

    void send(std::size_t which, End end) {
        --left[which];
        const auto one = at(which);
        const auto [number, body_] = orders[which];
        auto after = applyRequest(value, one);
        if (bug == Bug::forgetsWhatWasReplaced && !after.empty()) {
            auto held = decodeRecord(after);
            std::erase_if(held.history, [&](const auto& past) { return past.number != held.version; });
            after = encodeRecord(held);
        }
        if (bug == Bug::refusesLower && !value.empty() && number < version(value)) after = value;
        auto answer = checkDuplicate(after, one);
        if (bug == Bug::numberAlone) answer = DuplicateCheck::known;
        if (bug == Bug::refusesLower && !value.empty() && number < version(value))
            answer = DuplicateCheck::conflict;
        if (end == End::writeLost) {
            if (bug != Bug::tellsBeforeInForce) return;
        } else {
            const auto before = value.empty() ? 0 : version(value);
            value = after;
            if (version(value) < before) broken = "NeverBack";
        }
        if (end == End::answerLost) return;
        if (answer == DuplicateCheck::known) acknowledged[number].insert(body_);
        else refused[number].insert(body_);
        check(number, body_, answer);
    }
    void check(std::uint32_t number, char body_, DuplicateCheck answer) {
        const auto text = config::formatVersion(number) + body_;
        if (acknowledged[number].size() > 1) broken = "OneBody: " + text;
        if (answer != DuplicateCheck::known && acknowledged[number].contains(body_))
            broken = "KnownAgain: " + text;
        if (answer == DuplicateCheck::known && refused[number].contains(body_))
            broken = "RefusedForGood: " + text;
        if (answer != DuplicateCheck::known &&
            std::none_of(orders.begin(), orders.end(),
                         [&](const auto& other) { return other.number == number && other.body != body_; }))
            broken = "OnlyClashesRefused: " + text;
        if (answer == DuplicateCheck::known && (value.empty() || version(value) < number))
            broken = "InForce: " + text;
        if (answer == DuplicateCheck::known && !value.empty() && version(value) == number &&
            body(value)[0] != body_)
            broken = "InForce: another body: " + text;
    }
    std::string key() const {
        auto all = value + "#";
        for (const auto count : left) all += std::to_string(count);
        for (const auto* told : {&acknowledged, &refused}) {
            all += "|";
            for (const auto& [number, bodies] : *told)
                for (const char one : bodies) all += std::to_string(number) + one;
        }
        return all;
    }
};

struct Explored {
    std::size_t states = 0;
    std::string broken;
};

Explored explore(const Model& first) {
    std::unordered_set<std::string> seen{first.key()};  // asked, never walked through
    std::vector<Model> open{first};
    while (!open.empty()) {
        const auto model = std::move(open.back());
        open.pop_back();
        for (std::size_t which = 0; which < model.orders.size(); ++which) {
            if (model.left[which] == 0) continue;
            for (const auto end : {Model::End::answered, Model::End::answerLost, Model::End::writeLost}) {
                auto next = model;
                next.send(which, end);
                if (!next.broken.empty()) return {seen.size(), next.broken};
                if (seen.insert(next.key()).second) open.push_back(std::move(next));
            }
        }
    }
    return {seen.size(), ""};
}

// The same over the register's real copies and runs: two writers of one number, the first one's order again
// through a third as soon as anything was answered, messages in any order or lost, and one machine of the
// three lost between for good.
struct RequestSequences {
    struct Message {
        std::size_t run = 0, copy = 0;
        consensus::Proposal::Step step = consensus::Proposal::Step::read;
        bool reply = false;
        consensus::Request request;
        consensus::Reply answer;
    };
    static constexpr std::size_t kMembers = 3;

    explicit RequestSequences(std::uint32_t seed, Bug bug_) : draw(seed), bug(bug_), orders(kTwo) {
        for (std::size_t at = 0; at < kMembers; ++at)
            epoch.members.push_back({std::string(1, static_cast<char>('a' + at)), "disk", "", ""});
        for (const auto& member : epoch.members)
            copies.emplace_back(member.address, member.disk)
                .apply({{}, consensus::EpochState{epoch, true, {}, {}}});
        begin(0, 0), begin(1, 0);
    }
    void begin(std::size_t which, std::uint64_t above) {
        const auto one = orders[which];
        const auto number = static_cast<std::uint32_t>(runs.size() + 1);
        runs.emplace_back(
            "configuration", epoch, number, above,
            [one](const std::string& held) { return applyRequest(held, one); }, above == 0);
        sent.push_back(which);
        send(runs.size() - 1);
    }
    void send(std::size_t run) {
        for (std::size_t copy = 0; copy < kMembers; ++copy)
            messages.push_back({run, copy, runs[run].step(), false, runs[run].request(), {}});
    }
    void step() {
        if (!lost && draw() % 40 == 0) lost = draw() % kMembers;
        const auto at = draw() % messages.size();
        const auto message = messages[at];
        messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(at));
        if (lost == message.copy || draw() % 12 == 0) return;
        if (!message.reply) {
            std::optional<consensus::Update> update;
            auto reply = copies[message.copy].evaluate(message.request, update);
            if (update) copies[message.copy].apply(*update);
            messages.push_back({message.run, message.copy, message.step, true, {}, std::move(reply)});
            return;
        }
        auto& run = runs[message.run];
        if (!run.handleReply(static_cast<std::uint32_t>(message.copy), message.step, message.answer)) return;
        if (run.step() == consensus::Proposal::Step::done) return answered(message.run);
        if (run.step() != consensus::Proposal::Step::lost) return send(message.run);
        if (runs.size() < 12) begin(sent[message.run], run.highestRound());
    }
    void answered(std::size_t run) {
        const auto& order = orders[sent[run]];
        auto answer = checkDuplicate(runs[run].value(), order);
        if (bug == Bug::numberAlone) answer = DuplicateCheck::known;
        const bool known = answer == DuplicateCheck::known;
        if (answer == DuplicateCheck::unknown) broken = "Unanswered";
        (known ? acknowledged : refused).insert(sent[run]);
        if (acknowledged.size() > 1) broken = "OneBody";
        if (acknowledged.contains(sent[run]) && refused.contains(sent[run])) broken = "KnownAgain";
        if (known && body(runs[run].value()) != kBodies[sent[run]]) broken = "InForce";
        if (!std::exchange(again, true)) begin(0, 0), begin(1, 0);
    }
    static std::string play(std::uint32_t from, std::uint32_t to, Bug bug, std::size_t& answers) {
        for (auto seed = from; seed < to; ++seed) {
            RequestSequences world(seed, bug);
            for (int step = 0; step < 400 && !world.messages.empty(); ++step) {
                world.step();
                if (!world.broken.empty()) return "seed " + std::to_string(seed) + ": " + world.broken;
            }
            answers += world.acknowledged.size() + world.refused.size();
        }
        return "";
    }

    static inline const std::vector<std::string> kBodies{"one body", "other body"};
    static inline const std::vector<ConfigurationRequest> kTwo{makeRequest(7, kBodies[0]),
                                                               makeRequest(7, kBodies[1])};
    std::mt19937 draw;
    Bug bug;
    std::vector<ConfigurationRequest> orders;
    consensus::Epoch epoch{1, {}};
    std::vector<consensus::Acceptor> copies;
    std::vector<consensus::Proposal> runs;
    std::vector<std::size_t> sent;  // by run, the order
    std::vector<Message> messages;
    std::optional<std::size_t> lost;
    std::set<std::size_t> acknowledged, refused;
    bool again = false;
    std::string broken;
};

const std::vector<Sent> kRace{{7, 'A'}, {7, 'B'}, {9, 'C'}, {5, 'D'}, {5, 'E'}};

std::string hex(const Digest& told) {
    std::string all;
    for (const auto byte : told) {
        constexpr auto digits = "0123456789abcdef";
        all += digits[byte >> 4], all += digits[byte & 15];
    }
    return all;
}

messages::Rollout asked(const std::string& service, const std::string& target, std::int64_t term) {
    messages::Rollout order;
    order.service = service, order.target = target, order.timeLimitMs = term;
    return order;
}

std::string ended(const std::string& value, const std::string& target, const std::string& state) {
    auto all = messages::decodeRollouts(value);
    std::int64_t number = 0;
    for (const auto& one : all) number = std::max(number, one.number);
    for (auto& one : all)
        if (one.target == target && one.running()) one.state = state, one.number = number + 1;
    return messages::encode(all);
}

}  // namespace

class AdminRequestsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdminRequestsTest);
    CPPUNIT_TEST(digestIsSha1);
    CPPUNIT_TEST(requestsAreToldApart);
    CPPUNIT_TEST(earlierFormatIsRead);
    CPPUNIT_TEST(cutAndUnknownValuesAreRejected);
    CPPUNIT_TEST(historyIsBounded);
    CPPUNIT_TEST(invariantsHoldInEverySequence);
    CPPUNIT_TEST(invariantsHoldOverTheRegister);
    CPPUNIT_TEST(repeatedRolloutIsKnown);
    CPPUNIT_TEST(otherDeadlineIsAnotherRequest);
    CPPUNIT_TEST(oneOfTwoRolloutsRuns);
    CPPUNIT_TEST(endedRolloutsAreBounded);
    CPPUNIT_TEST_SUITE_END();

  public:
    void digestIsSha1() {
        CPPUNIT_ASSERT_EQUAL(std::string("a9993e364706816aba3e25717850c26c9cd0d89d"), hex(digest("abc")));
        CPPUNIT_ASSERT_EQUAL(std::string("da39a3ee5e6b4b0d3255bfef95601890afd80709"), hex(digest("")));
    }

    void requestsAreToldApart() {
        const auto seven = makeRequest(7, "seven");
        const auto other = makeRequest(7, "other");
        const auto nine = makeRequest(9, "nine");
        const auto five = makeRequest(5, "five");
        const auto fifth = makeRequest(5, "fifth");
        auto value = applyRequest("", seven);
        CPPUNIT_ASSERT_EQUAL(7U, version(value));
        CPPUNIT_ASSERT_EQUAL(std::string("seven"), body(value));
        CPPUNIT_ASSERT(checkDuplicate(value, seven) == DuplicateCheck::known);
        CPPUNIT_ASSERT(checkDuplicate(value, other) == DuplicateCheck::conflict);
        CPPUNIT_ASSERT(applyRequest(value, seven) == value && applyRequest(value, other) == value);
        value = applyRequest(value, nine);
        CPPUNIT_ASSERT_EQUAL(std::string("nine"), body(value));
        // Known again and clashing after another change too.
        CPPUNIT_ASSERT(applyRequest(value, seven) == value && applyRequest(value, other) == value);
        CPPUNIT_ASSERT(checkDuplicate(value, seven) == DuplicateCheck::known);
        CPPUNIT_ASSERT(checkDuplicate(value, other) == DuplicateCheck::conflict);
        // A lower number changes nothing in force, and another body under it clashes from then on.
        CPPUNIT_ASSERT(checkDuplicate(value, five) == DuplicateCheck::unknown);
        value = applyRequest(value, five);
        CPPUNIT_ASSERT_EQUAL(9U, version(value));
        CPPUNIT_ASSERT_EQUAL(std::string("nine"), body(value));
        CPPUNIT_ASSERT(checkDuplicate(value, five) == DuplicateCheck::known);
        CPPUNIT_ASSERT(checkDuplicate(value, fifth) == DuplicateCheck::conflict);
        // What is written is read again, large and with any byte.
        std::string large(200'000, 'x');
        large += std::string("\0\xff", 2);
        value = applyRequest(value, makeRequest(0xfffffff0, large));
        CPPUNIT_ASSERT_EQUAL(0xfffffff0U, version(value));
        CPPUNIT_ASSERT(body(value) == large && encodeRecord(decodeRecord(value)) == value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, decodeRecord(value).history.size());
    }

    // Values of texts before: eight digits and the body. Nothing of them is lost, and the order in force is
    // known by its body.
    void earlierFormatIsRead() {
        for (const auto& sent : {std::string("short"), std::string(5000, 'y')}) {
            const auto value = config::formatVersion(0xab) + transport::compress(sent);
            CPPUNIT_ASSERT_EQUAL(0xabU, version(value));
            CPPUNIT_ASSERT_EQUAL(sent, body(value));
            CPPUNIT_ASSERT(checkDuplicate(value, makeRequest(0xab, sent)) == DuplicateCheck::known);
            CPPUNIT_ASSERT(checkDuplicate(value, makeRequest(0xab, sent + " ")) == DuplicateCheck::conflict);
            CPPUNIT_ASSERT(applyRequest(value, makeRequest(0xab, sent)) == value);
            const auto older = applyRequest(value, makeRequest(3, "three"));
            CPPUNIT_ASSERT_EQUAL(sent, body(older));
            CPPUNIT_ASSERT(checkDuplicate(older, makeRequest(0xab, sent)) == DuplicateCheck::known);
            const auto next = applyRequest(value, makeRequest(0xac, "next"));
            CPPUNIT_ASSERT_EQUAL(std::string("next"), body(next));
            CPPUNIT_ASSERT(checkDuplicate(next, makeRequest(0xab, sent)) == DuplicateCheck::known);
            CPPUNIT_ASSERT(checkDuplicate(next, makeRequest(0xab, "other")) == DuplicateCheck::conflict);
        }
    }

    // What is cut or of another format is told, never guessed; a body cut later shows when it is read.
    void cutAndUnknownValuesAreRejected() {
        const auto value =
            applyRequest(applyRequest("", makeRequest(7, std::string(3000, 'a'))), makeRequest(8, "eight"));
        const auto whole = value.size() - transport::compress("eight").size();
        for (std::size_t length = 1; length < whole; ++length)
            CPPUNIT_ASSERT_THROW(version(value.substr(0, length)), ParseError);
        CPPUNIT_ASSERT_THROW(body(value.substr(0, whole)), ParseError);
        for (const auto* text : {"o2", "0000000", "0000000G body", "\x7f"})
            CPPUNIT_ASSERT_THROW(decodeRecord(text), ParseError);
        auto forgotten = decodeRecord(value);
        forgotten.version = 11;
        CPPUNIT_ASSERT_THROW(decodeRecord(encodeRecord(forgotten)), ParseError);
    }

    // So many are remembered, and the one in force for good, however many older ones come.
    void historyIsBounded() {
        std::string value = applyRequest("", makeRequest(1000, "in force"));
        for (std::uint32_t number = 1; number <= 200; ++number)
            value = applyRequest(value, makeRequest(number, "older" + std::to_string(number)));
        CPPUNIT_ASSERT_EQUAL(kRemembered, decodeRecord(value).history.size());
        CPPUNIT_ASSERT(checkDuplicate(value, makeRequest(1000, "in force")) == DuplicateCheck::known);
        CPPUNIT_ASSERT(checkDuplicate(value, makeRequest(1000, "other")) == DuplicateCheck::conflict);
        CPPUNIT_ASSERT(checkDuplicate(value, makeRequest(200, "older200")) == DuplicateCheck::known);
        CPPUNIT_ASSERT(checkDuplicate(value, makeRequest(200 - kRemembered + 2, "other")) ==
                       DuplicateCheck::conflict);
        // Beyond it lower numbers go as the page says: acknowledged, and nothing changes.
        const auto beyond = makeRequest(1, "other");
        CPPUNIT_ASSERT(checkDuplicate(value, beyond) == DuplicateCheck::unknown);
        value = applyRequest(value, beyond);
        CPPUNIT_ASSERT(checkDuplicate(value, beyond) == DuplicateCheck::known);
        CPPUNIT_ASSERT_EQUAL(std::string("in force"), body(value));
        CPPUNIT_ASSERT(value.size() < 64 * 24 + 40);
    }

    void invariantsHoldInEverySequence() {
        const auto whole = explore(Model(kRace, Bug::none));
        CPPUNIT_ASSERT_EQUAL(std::string(), whole.broken);
        std::string seen = "states " + std::to_string(whole.states) + "\n";
        const std::vector<std::pair<Bug, std::string>> bugs{
            {Bug::numberAlone, "the number alone answers, as before there was a history"},
            {Bug::forgetsWhatWasReplaced, "only the order in force is remembered"},
            {Bug::refusesLower, "a lower number is refused"},
            {Bug::tellsBeforeInForce, "an answer before a majority has it"}};
        for (const auto& [bug, text] : bugs) {
            const auto found = explore(Model(kRace, bug));
            CPPUNIT_ASSERT_MESSAGE(text, !found.broken.empty());
            seen += text + ": " + found.broken + "\n";
        }
        approve("configuration-record-explored", seen);
    }

    void invariantsHoldOverTheRegister() {
        std::size_t answers = 0;
        CPPUNIT_ASSERT_EQUAL(std::string(), RequestSequences::play(1, 20'001, Bug::none, answers));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(answers), answers > 20'000);  // most are answered at all
        std::cout << " (" << answers << " orders answered in 20000 schedules)";
        const auto found = RequestSequences::play(1, 20'001, Bug::numberAlone, answers);
        CPPUNIT_ASSERT(found.starts_with("seed "));
        std::cout << " (by the number alone: " << found << ")";
    }

    // Known again while it runs, after each way to end, and after others; never a second one.
    void repeatedRolloutIsKnown() {
        const auto order = asked("s", "v2", 12'000);
        auto value = addRollout("", order);
        CPPUNIT_ASSERT(addRollout(value, order) == value);
        CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(value), order) ==
                       RolloutRequestOutcome::known);
        for (const auto* state : {"completed", "rolled_back"}) {
            auto after = ended(value, "v2", state);
            CPPUNIT_ASSERT(addRollout(after, order) == after);
            CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(after), order) ==
                           RolloutRequestOutcome::known);
            after = addRollout(after, asked("s", "v3", 12'000));
            CPPUNIT_ASSERT_EQUAL(std::string("v3"),
                                 newestRollout(messages::decodeRollouts(after), "s")->target);
            CPPUNIT_ASSERT(addRollout(after, order) == after);
        }
        CPPUNIT_ASSERT(newestRollout(messages::decodeRollouts(value), "t") == nullptr);
    }

    // Another deadline makes another order: refused while the first runs, nothing to do where that version is
    // the one that the service has come to, and else begun anew.
    void otherDeadlineIsAnotherRequest() {
        const auto first = asked("s", "v2", 12'000);
        const auto again = asked("s", "v2", 15'000);
        const auto running = addRollout("", first);
        CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(running), again) ==
                       RolloutRequestOutcome::underWay);
        CPPUNIT_ASSERT(addRollout(running, again) == running);
        CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(running), asked("t", "v2", 15'000)) ==
                       RolloutRequestOutcome::begun);
        const auto done = ended(running, "v2", "completed");
        CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(done), again) ==
                       RolloutRequestOutcome::inForce);
        CPPUNIT_ASSERT(addRollout(done, again) == done);
        const auto back = ended(running, "v2", "rolled_back");
        CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(back), again) ==
                       RolloutRequestOutcome::begun);
        const auto anew = addRollout(back, again);
        const auto all = messages::decodeRollouts(anew);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, all.size());
        CPPUNIT_ASSERT(all[1].running() && all[1].number > all[0].number && !all[0].running());
        CPPUNIT_ASSERT(addRollout(anew, first) == anew && addRollout(anew, again) == anew);
        // Another version tried since and turned back changes nothing of that: v2's pods are all there are.
        const auto tried = ended(addRollout(done, asked("s", "v3", 12'000)), "v3", "rolled_back");
        CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(tried), again) ==
                       RolloutRequestOutcome::inForce);
        CPPUNIT_ASSERT(addRollout(tried, again) == tried);
        // From v3 back to v2: the service has moved on, so this is work to do.
        auto moved = ended(addRollout(done, asked("s", "v3", 12'000)), "v3", "completed");
        CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(moved), again) ==
                       RolloutRequestOutcome::begun);
    }

    // Two orders through two control nodes, in both sequences of ballots, each sent again: one runs, the
    // other is refused for as long as it does.
    void oneOfTwoRolloutsRuns() {
        const std::vector<messages::Rollout> both{asked("s", "v2", 12'000), asked("s", "v2", 15'000)};
        for (const std::size_t first : {0U, 1U}) {
            auto value = addRollout("", both[first]);
            value = addRollout(value, both[1 - first]);
            for (int again = 0; again < 2; ++again) {
                value = addRollout(value, both[0]), value = addRollout(value, both[1]);
                const auto all = messages::decodeRollouts(value);
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all.size());
                CPPUNIT_ASSERT_EQUAL(both[first].timeLimitMs, all[0].timeLimitMs);
                CPPUNIT_ASSERT(classifyRequest(all, both[first]) == RolloutRequestOutcome::known);
                CPPUNIT_ASSERT(classifyRequest(all, both[1 - first]) == RolloutRequestOutcome::underWay);
            }
        }
    }

    // Hundreds of rollouts: the ended ones go, but for the newest and for what each service has come to.
    void endedRolloutsAreBounded() {
        auto value = ended(addRollout("", asked("quiet", "v1", 1000)), "v1", "completed");
        std::size_t bytes = 0;
        for (int at = 0; at < 400; ++at) {
            const auto order = asked("s", "w" + std::to_string(at), 12'000);
            value = addRollout(value, order);
            CPPUNIT_ASSERT(addRollout(value, order) == value);
            value = ended(value, order.target, at % 3 ? "completed" : "rolled_back");
            CPPUNIT_ASSERT(addRollout(value, order) == value);  // known also after it has ended
            if (at == 100) bytes = value.size();
        }
        const auto all = messages::decodeRollouts(value);
        CPPUNIT_ASSERT(all.size() <= kEndedKept + 3);
        CPPUNIT_ASSERT(value.size() < bytes + 200);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), newestRollout(all, "quiet")->target);
        std::int64_t highest = 0;
        for (const auto& one : all) highest = std::max(highest, one.number);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{802}, highest);  // numbers go on rising
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdminRequestsTest);
