// Requests to replace the configuration and to start rollouts. A model explores requests of equal and
// different numbers, each sent twice, through any control node, in every order of proposals, with lost
// responses and lost or delayed writes. Each invariant is shown to fail for a faulty implementation; the
// first is the one used before there was a history.
#include "admin/configuration_record.hpp"

#include <functional>
#include <iostream>
#include <random>
#include <set>
#include <unordered_set>
#include <utility>

#include "admin/rollout_requests.hpp"
#include "config/configuration.hpp"
#include "consensus/consensus.hpp"
#include "messages/codec.hpp"
#include "support/transcript.hpp"
#include "transport/compression.hpp"

using namespace lichenlanding;
using namespace lichenlanding::admin;

namespace {

enum class Bug { none, numberOnly, historyOnlyInForce, rejectsLower, respondsBeforeInForce };

struct SentRequest {
    std::uint32_t number;
    char body;
};

struct Model {
    std::vector<SentRequest> requests;
    std::size_t times = 2;  // each request is sent this often
    Bug bug = Bug::none;

    std::string value;
    std::vector<std::size_t> left;
    std::map<std::uint32_t, std::set<char>> acknowledged, rejected;
    std::set<std::uint32_t> everAcknowledged;
    std::string violation;

    Model(std::vector<SentRequest> requests_, Bug bug_) : requests(std::move(requests_)), bug(bug_) {
        left.assign(requests.size(), times);
    }
    ConfigurationRequest at(std::size_t which) const {
        return makeRequest(requests[which].number, std::string(1, requests[which].body));
    }
    // How a request may end: answered; in force but the response lost; no majority and never in force.
    enum class End { answered, answerLost, writeLost };

    void send(std::size_t which, End end) {
        --left[which];
        const auto one = at(which);
        const auto [number, body_] = requests[which];
        auto after = applyRequest(value, one);
        if (bug == Bug::historyOnlyInForce && !after.empty()) {
            auto record = decodeRecord(after);
            std::erase_if(record.history, [&](const auto& past) { return past.number != record.version; });
            after = encodeRecord(record);
        }
        if (bug == Bug::rejectsLower && !value.empty() && number < version(value)) after = value;
        auto answer = checkDuplicate(after, one);
        if (bug == Bug::numberOnly) answer = DuplicateCheck::known;
        if (bug == Bug::rejectsLower && !value.empty() && number < version(value))
            answer = DuplicateCheck::conflict;
        if (end == End::writeLost) {
            if (bug != Bug::respondsBeforeInForce) return;
        } else {
            const auto before = value.empty() ? 0 : version(value);
            value = after;
            if (version(value) < before) violation = "MonotonicVersion";
        }
        if (end == End::answerLost) return;
        if (answer == DuplicateCheck::known) acknowledged[number].insert(body_);
        else rejected[number].insert(body_);
        check(number, body_, answer);
    }
    void check(std::uint32_t number, char body_, DuplicateCheck answer) {
        const auto text = config::formatVersion(number) + body_;
        if (acknowledged[number].size() > 1) violation = "OneBodyPerNumber: " + text;
        if (answer != DuplicateCheck::known && acknowledged[number].contains(body_))
            violation = "RepeatAcknowledged: " + text;
        if (answer == DuplicateCheck::known && rejected[number].contains(body_))
            violation = "RejectionIsFinal: " + text;
        if (answer != DuplicateCheck::known &&
            std::none_of(requests.begin(), requests.end(),
                         [&](const auto& other) { return other.number == number && other.body != body_; }))
            violation = "OnlyConflictsRejected: " + text;
        if (answer == DuplicateCheck::known && (value.empty() || version(value) < number))
            violation = "InForce: " + text;
        if (answer == DuplicateCheck::known && !value.empty() && version(value) == number &&
            body(value)[0] != body_)
            violation = "InForce: another body: " + text;
    }
    std::string key() const {
        auto all = value + "#";
        for (const auto count : left) all += std::to_string(count);
        for (const auto* bodiesByNumber : {&acknowledged, &rejected}) {
            all += "|";
            for (const auto& [number, bodies] : *bodiesByNumber)
                for (const char one : bodies) all += std::to_string(number) + one;
        }
        return all;
    }
};

struct Explored {
    std::size_t states = 0;
    std::string violation;
};

Explored explore(const Model& first) {
    std::unordered_set<std::string> visited{first.key()};  // never iterated: the order is unspecified
    std::vector<Model> open{first};
    while (!open.empty()) {
        const auto model = std::move(open.back());
        open.pop_back();
        for (std::size_t which = 0; which < model.requests.size(); ++which) {
            if (model.left[which] == 0) continue;
            for (const auto end : {Model::End::answered, Model::End::answerLost, Model::End::writeLost}) {
                auto next = model;
                next.send(which, end);
                if (!next.violation.empty()) return {visited.size(), next.violation};
                if (visited.insert(next.key()).second) open.push_back(std::move(next));
            }
        }
    }
    return {visited.size(), ""};
}

// The same with the register's real acceptors and proposals: two writers of one number, both requests
// repeated once anything was answered, messages reordered or lost, and one of the three machines lost for
// good meanwhile.
struct RequestSequences {
    struct Message {
        std::size_t proposal = 0, acceptor = 0;
        consensus::Proposal::Step step = consensus::Proposal::Step::read;
        bool reply = false;
        consensus::Request request;
        consensus::Reply answer;
    };
    static constexpr std::size_t kMembers = 3;

    explicit RequestSequences(std::uint32_t seed, Bug bug_) : random(seed), bug(bug_), requests(kTwo) {
        for (std::size_t at = 0; at < kMembers; ++at)
            epoch.members.push_back({std::string(1, static_cast<char>('a' + at)), "disk", "", ""});
        for (const auto& member : epoch.members)
            acceptors.emplace_back(member.address, member.disk)
                .apply({{}, consensus::EpochState{epoch, true, {}, {}}});
        begin(0, 0), begin(1, 0);
    }
    void begin(std::size_t which, std::uint64_t above) {
        const auto one = requests[which];
        const auto number = static_cast<std::uint32_t>(proposals.size() + 1);
        proposals.emplace_back(
            "configuration", epoch, number, above,
            [one](const std::string& record) { return applyRequest(record, one); }, above == 0);
        sent.push_back(which);
        send(proposals.size() - 1);
    }
    void send(std::size_t proposal) {
        for (std::size_t acceptor = 0; acceptor < kMembers; ++acceptor)
            messages.push_back(
                {proposal, acceptor, proposals[proposal].step(), false, proposals[proposal].request(), {}});
    }
    void step() {
        if (!lost && random() % 40 == 0) lost = random() % kMembers;
        const auto at = random() % messages.size();
        const auto message = messages[at];
        messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(at));
        if (lost == message.acceptor || random() % 12 == 0) return;
        if (!message.reply) {
            std::optional<consensus::Update> update;
            auto reply = acceptors[message.acceptor].evaluate(message.request, update);
            if (update) acceptors[message.acceptor].apply(*update);
            messages.push_back(
                {message.proposal, message.acceptor, message.step, true, {}, std::move(reply)});
            return;
        }
        auto& proposal = proposals[message.proposal];
        if (!proposal.handleReply(static_cast<std::uint32_t>(message.acceptor), message.step, message.answer))
            return;
        if (proposal.step() == consensus::Proposal::Step::done) return answered(message.proposal);
        if (proposal.step() != consensus::Proposal::Step::lost) return send(message.proposal);
        if (proposals.size() < 12) begin(sent[message.proposal], proposal.highestRound());
    }
    void answered(std::size_t proposal) {
        const auto& request = requests[sent[proposal]];
        auto answer = checkDuplicate(proposals[proposal].value(), request);
        if (bug == Bug::numberOnly) answer = DuplicateCheck::known;
        const bool known = answer == DuplicateCheck::known;
        if (answer == DuplicateCheck::unknown) violation = "Unanswered";
        (known ? acknowledged : rejected).insert(sent[proposal]);
        if (acknowledged.size() > 1) violation = "OneBodyPerNumber";
        if (acknowledged.contains(sent[proposal]) && rejected.contains(sent[proposal]))
            violation = "RepeatAcknowledged";
        if (known && body(proposals[proposal].value()) != kBodies[sent[proposal]]) violation = "InForce";
        if (!std::exchange(again, true)) begin(0, 0), begin(1, 0);
    }
    static std::string runSeeds(std::uint32_t from, std::uint32_t to, Bug bug, std::size_t& answers) {
        for (auto seed = from; seed < to; ++seed) {
            RequestSequences simulation(seed, bug);
            for (int step = 0; step < 400 && !simulation.messages.empty(); ++step) {
                simulation.step();
                if (!simulation.violation.empty())
                    return "seed " + std::to_string(seed) + ": " + simulation.violation;
            }
            answers += simulation.acknowledged.size() + simulation.rejected.size();
        }
        return "";
    }

    static inline const std::vector<std::string> kBodies{"one body", "other body"};
    static inline const std::vector<ConfigurationRequest> kTwo{makeRequest(7, kBodies[0]),
                                                               makeRequest(7, kBodies[1])};
    std::mt19937 random;
    Bug bug;
    std::vector<ConfigurationRequest> requests;
    consensus::Epoch epoch{1, {}};
    std::vector<consensus::Acceptor> acceptors;
    std::vector<consensus::Proposal> proposals;
    std::vector<std::size_t> sent;  // the request of each proposal
    std::vector<Message> messages;
    std::optional<std::size_t> lost;
    std::set<std::size_t> acknowledged, rejected;
    bool again = false;
    std::string violation;
};

const std::vector<SentRequest> kRace{{7, 'A'}, {7, 'B'}, {9, 'C'}, {5, 'D'}, {5, 'E'}};

std::string hex(const Digest& digestBytes) {
    std::string all;
    for (const auto byte : digestBytes) {
        constexpr auto digits = "0123456789abcdef";
        all += digits[byte >> 4], all += digits[byte & 15];
    }
    return all;
}

messages::Rollout rolloutRequest(const std::string& service, const std::string& target, std::int64_t term) {
    messages::Rollout request;
    request.service = service, request.target = target, request.timeLimitMs = term;
    return request;
}

constexpr std::int64_t kRepeatWindowMs = 5000;
// By the ages on record.
const RepeatWindow kRepeats{kRepeatWindowMs, [](const messages::Rollout& rollout) { return rollout.ageMs; }};

std::string addRollout(const std::string& value, const messages::Rollout& request) {
    return admin::addRollout(value, request, kRepeats);
}
RolloutRequestOutcome classifyRequest(const std::vector<messages::Rollout>& rollouts,
                                      const messages::Rollout& request) {
    return admin::classifyRequest(rollouts, request, kRepeats);
}

// Lets the repeat window of all rollouts on record pass.
std::string aged(const std::string& value) {
    auto all = messages::decodeRollouts(value);
    for (auto& one : all) one.ageMs = kRepeatWindowMs + 1;
    return messages::encode(all);
}

std::string newestOf(const std::string& value) {
    const auto all = messages::decodeRollouts(value);
    const auto* newest = newestRollout(all, "s");
    return newest->target + " " + newest->state;
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
    CPPUNIT_TEST(repeatsAndConflictsAreDetected);
    CPPUNIT_TEST(earlierFormatIsRead);
    CPPUNIT_TEST(truncatedAndUnknownValuesAreRejected);
    CPPUNIT_TEST(historyIsBounded);
    CPPUNIT_TEST(invariantsHoldInEverySequence);
    CPPUNIT_TEST(invariantsHoldOverTheRegister);
    CPPUNIT_TEST(repeatedRolloutRequestIsKnown);
    CPPUNIT_TEST(otherDeadlineIsAnotherRequest);
    CPPUNIT_TEST(laterOrderWithTheSameDeadlineBeginsAnew);
    CPPUNIT_TEST(laterOrderForARunningRolloutIsReadBack);
    CPPUNIT_TEST(oneOfTwoRolloutsRuns);
    CPPUNIT_TEST(endedRolloutsAreBounded);
    CPPUNIT_TEST_SUITE_END();

  public:
    void digestIsSha1() {
        CPPUNIT_ASSERT_EQUAL(std::string("a9993e364706816aba3e25717850c26c9cd0d89d"), hex(digest("abc")));
        CPPUNIT_ASSERT_EQUAL(std::string("da39a3ee5e6b4b0d3255bfef95601890afd80709"), hex(digest("")));
    }

    void repeatsAndConflictsAreDetected() {
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
        // Still known or in conflict after another change.
        CPPUNIT_ASSERT(applyRequest(value, seven) == value && applyRequest(value, other) == value);
        CPPUNIT_ASSERT(checkDuplicate(value, seven) == DuplicateCheck::known);
        CPPUNIT_ASSERT(checkDuplicate(value, other) == DuplicateCheck::conflict);
        // A lower number does not replace the configuration; another body under it is a conflict from then
        // on.
        CPPUNIT_ASSERT(checkDuplicate(value, five) == DuplicateCheck::unknown);
        value = applyRequest(value, five);
        CPPUNIT_ASSERT_EQUAL(9U, version(value));
        CPPUNIT_ASSERT_EQUAL(std::string("nine"), body(value));
        CPPUNIT_ASSERT(checkDuplicate(value, five) == DuplicateCheck::known);
        CPPUNIT_ASSERT(checkDuplicate(value, fifth) == DuplicateCheck::conflict);
        // Encoding and decoding preserve large bodies with any bytes.
        std::string large(200'000, 'x');
        large += std::string("\0\xff", 2);
        value = applyRequest(value, makeRequest(0xfffffff0, large));
        CPPUNIT_ASSERT_EQUAL(0xfffffff0U, version(value));
        CPPUNIT_ASSERT(body(value) == large && encodeRecord(decodeRecord(value)) == value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, decodeRecord(value).history.size());
    }

    // Values in the earlier format, eight digits and the body: the body is kept, and the request in force is
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

    // Truncated values and other formats are rejected; a truncated body is rejected when it is decompressed.
    void truncatedAndUnknownValuesAreRejected() {
        const auto value =
            applyRequest(applyRequest("", makeRequest(7, std::string(3000, 'a'))), makeRequest(8, "eight"));
        const auto headSize = value.size() - transport::compress("eight").size();
        for (std::size_t length = 1; length < headSize; ++length)
            CPPUNIT_ASSERT_THROW(version(value.substr(0, length)), ParseError);
        CPPUNIT_ASSERT_THROW(body(value.substr(0, headSize)), ParseError);
        for (const auto* text : {"o2", "0000000", "0000000G body", "\x7f"})
            CPPUNIT_ASSERT_THROW(decodeRecord(text), ParseError);
        auto inconsistent = decodeRecord(value);
        inconsistent.version = 11;
        CPPUNIT_ASSERT_THROW(decodeRecord(encodeRecord(inconsistent)), ParseError);
    }

    // The history is bounded, but always contains the request in force, however many lower numbers arrive.
    void historyIsBounded() {
        std::string value = applyRequest("", makeRequest(1000, "in force"));
        for (std::uint32_t number = 1; number <= 200; ++number)
            value = applyRequest(value, makeRequest(number, "older" + std::to_string(number)));
        CPPUNIT_ASSERT_EQUAL(kMaxHistoryEntries, decodeRecord(value).history.size());
        CPPUNIT_ASSERT(checkDuplicate(value, makeRequest(1000, "in force")) == DuplicateCheck::known);
        CPPUNIT_ASSERT(checkDuplicate(value, makeRequest(1000, "other")) == DuplicateCheck::conflict);
        CPPUNIT_ASSERT(checkDuplicate(value, makeRequest(200, "older200")) == DuplicateCheck::known);
        CPPUNIT_ASSERT(checkDuplicate(value, makeRequest(200 - kMaxHistoryEntries + 2, "other")) ==
                       DuplicateCheck::conflict);
        // Lower numbers that have left the history are acknowledged without a change, as documented.
        const auto beyond = makeRequest(1, "other");
        CPPUNIT_ASSERT(checkDuplicate(value, beyond) == DuplicateCheck::unknown);
        value = applyRequest(value, beyond);
        CPPUNIT_ASSERT(checkDuplicate(value, beyond) == DuplicateCheck::known);
        CPPUNIT_ASSERT_EQUAL(std::string("in force"), body(value));
        CPPUNIT_ASSERT(value.size() < 64 * 24 + 40);
    }

    void invariantsHoldInEverySequence() {
        const auto explored = explore(Model(kRace, Bug::none));
        CPPUNIT_ASSERT_EQUAL(std::string(), explored.violation);
        std::string transcript = "states " + std::to_string(explored.states) + "\n";
        const std::vector<std::pair<Bug, std::string>> bugs{
            {Bug::numberOnly, "only the number is compared, as before there was a history"},
            {Bug::historyOnlyInForce, "only the request in force is in the history"},
            {Bug::rejectsLower, "a lower number is rejected"},
            {Bug::respondsBeforeInForce, "a response before a majority has the value"}};
        for (const auto& [bug, text] : bugs) {
            const auto found = explore(Model(kRace, bug));
            CPPUNIT_ASSERT_MESSAGE(text, !found.violation.empty());
            transcript += text + ": " + found.violation + "\n";
        }
        approve("configuration-record-explored", transcript);
    }

    void invariantsHoldOverTheRegister() {
        std::size_t answers = 0;
        CPPUNIT_ASSERT_EQUAL(std::string(), RequestSequences::runSeeds(1, 20'001, Bug::none, answers));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(answers), answers > 20'000);  // most requests are answered
        std::cout << " (" << answers << " requests answered in 20000 schedules)";
        const auto found = RequestSequences::runSeeds(1, 20'001, Bug::numberOnly, answers);
        CPPUNIT_ASSERT(found.starts_with("seed "));
        std::cout << " (only the number compared: " << found << ")";
    }

    // A repeated request is known while its rollout runs, after it ended either way, and after other
    // rollouts; it never starts a second one.
    void repeatedRolloutRequestIsKnown() {
        const auto request = rolloutRequest("s", "v2", 12'000);
        auto value = addRollout("", request);
        CPPUNIT_ASSERT(addRollout(value, request) == value);
        CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(value), request) ==
                       RolloutRequestOutcome::known);
        for (const auto* state : {"completed", "rolled_back"}) {
            auto after = ended(value, "v2", state);
            CPPUNIT_ASSERT(addRollout(after, request) == after);
            CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(after), request) ==
                           RolloutRequestOutcome::known);
            after = addRollout(after, rolloutRequest("s", "v3", 12'000));
            CPPUNIT_ASSERT_EQUAL(std::string("v3"),
                                 newestRollout(messages::decodeRollouts(after), "s")->target);
            CPPUNIT_ASSERT(addRollout(after, request) == after);
        }
        CPPUNIT_ASSERT(newestRollout(messages::decodeRollouts(value), "t") == nullptr);
    }

    // Another deadline makes another request: rejected while the first rollout runs, nothing to do if that
    // version was the last to complete, otherwise a new rollout.
    void otherDeadlineIsAnotherRequest() {
        const auto first = rolloutRequest("s", "v2", 12'000);
        const auto again = rolloutRequest("s", "v2", 15'000);
        const auto running = addRollout("", first);
        CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(running), again) ==
                       RolloutRequestOutcome::underWay);
        CPPUNIT_ASSERT(addRollout(running, again) == running);
        CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(running),
                                       rolloutRequest("t", "v2", 15'000)) == RolloutRequestOutcome::begun);
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
        // A rollout of another version that was rolled back since changes nothing: only v2's pods serve.
        const auto tried = ended(addRollout(done, rolloutRequest("s", "v3", 12'000)), "v3", "rolled_back");
        // The order is recorded, so that it is read back, but nothing is begun.
        CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(tried), again) ==
                       RolloutRequestOutcome::inForce);
        const auto confirmed = addRollout(tried, again);
        CPPUNIT_ASSERT_EQUAL(std::string("v2 completed"), newestOf(confirmed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, messages::decodeRollouts(confirmed).size());
        CPPUNIT_ASSERT(addRollout(confirmed, again) == confirmed);
        CPPUNIT_ASSERT(addRollout(aged(confirmed), again) == aged(confirmed));
        // After v3 has completed, v2 is a new rollout.
        auto moved = ended(addRollout(done, rolloutRequest("s", "v3", 12'000)), "v3", "completed");
        CPPUNIT_ASSERT(classifyRequest(messages::decodeRollouts(moved), again) ==
                       RolloutRequestOutcome::begun);
    }

    // Guards against LOST, review/3: an order of an earlier version with the usual deadline was acknowledged
    // and dropped as a repeat, however long ago the first one had ended.
    void laterOrderWithTheSameDeadlineBeginsAnew() {
        const auto order = rolloutRequest("s", "v2", 16'000);
        for (const auto* state : {"completed", "rolled_back"}) {
            auto value = ended(addRollout("", order), "v2", state);
            value = ended(addRollout(value, rolloutRequest("s", "v3", 16'000)), "v3", "completed");
            CPPUNIT_ASSERT(addRollout(value, order) == value);  // within the window: a late repeat
            value = addRollout(aged(value), order);
            CPPUNIT_ASSERT_EQUAL(std::string("v2 in_progress"), newestOf(value));
            CPPUNIT_ASSERT(addRollout(value, order) == value);
            const auto all = messages::decodeRollouts(value);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, all.size());
            CPPUNIT_ASSERT(all[2].ageMs == 0 && all[2].number > all[1].number);
            CPPUNIT_ASSERT(all[2].key() != all[0].key() && all[2].versionKey() == all[0].versionKey());
        }
    }

    // An order for a rollout that has been running for long is no repeat either: it is read back, also where
    // another version was ordered in between, but does not begin a second time.
    void laterOrderForARunningRolloutIsReadBack() {
        const auto order = rolloutRequest("s", "v2", 16'000);
        auto value = addRollout(addRollout("", order), rolloutRequest("s", "v3", 16'000));
        CPPUNIT_ASSERT(addRollout(value, order) == value);
        value = addRollout(aged(value), order);
        CPPUNIT_ASSERT_EQUAL(std::string("v2 in_progress"), newestOf(value));
        const auto all = messages::decodeRollouts(value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, all.size());
        CPPUNIT_ASSERT(all[1].ageMs > kRepeatWindowMs && all[1].number > all[0].number);
        CPPUNIT_ASSERT(addRollout(value, order) == value);
        CPPUNIT_ASSERT(classifyRequest(all, order) == RolloutRequestOutcome::running);
    }

    // Two requests through two control nodes, in both orders of proposals, each repeated: one rollout runs,
    // the other request is rejected meanwhile.
    void oneOfTwoRolloutsRuns() {
        const std::vector<messages::Rollout> both{rolloutRequest("s", "v2", 12'000),
                                                  rolloutRequest("s", "v2", 15'000)};
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

    // Of hundreds of rollouts that can't be repeated any more only the newest ended ones and each service's
    // last completed one are kept.
    void endedRolloutsAreBounded() {
        auto value = ended(addRollout("", rolloutRequest("quiet", "v1", 1000)), "v1", "completed");
        std::size_t bytes = 0;
        for (int at = 0; at < 400; ++at) {
            const auto request = rolloutRequest("s", "w" + std::to_string(at), 12'000);
            value = addRollout(value, request);
            CPPUNIT_ASSERT(addRollout(value, request) == value);
            value = ended(value, request.target, at % 3 ? "completed" : "rolled_back");
            CPPUNIT_ASSERT(addRollout(value, request) == value);  // known after it has ended as well
            value = aged(value);
            if (at == 100) bytes = value.size();
        }
        const auto all = messages::decodeRollouts(value);
        CPPUNIT_ASSERT(all.size() <= kMaxEndedRollouts + 3);
        CPPUNIT_ASSERT(value.size() < bytes + 200);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), newestRollout(all, "quiet")->target);
        std::int64_t highest = 0;
        for (const auto& one : all) highest = std::max(highest, one.number);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{802}, highest);  // numbers keep rising
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdminRequestsTest);
