// Checks the states of an attempt, and the decisions based on them, against a model in which a pod may
// execute a request at any time after it was written. Each rule is also broken on purpose, to show that the
// checks fail.
#include "routing/attempt.hpp"

#include <functional>
#include <set>
#include <stdexcept>

#include "support/transcript.hpp"

using namespace lichenlanding::routing;

namespace {

constexpr std::array kStates{AttemptState::unsent, AttemptState::knownNotExecuted,
                             AttemptState::maybeExecuted, AttemptState::answered};
constexpr std::array kEvents{AttemptEvent::written,     AttemptEvent::unreached, AttemptEvent::rejectedByHost,
                             AttemptEvent::misdirected, AttemptEvent::answered,  AttemptEvent::connectionLost,
                             AttemptEvent::malformed,   AttemptEvent::timedOut,  AttemptEvent::cancelled};

// The actual state of one attempt: what happened to it, and whether its pod has executed it.
struct ActualAttempt {
    bool written = false, ended = false, executed = false;
    AttemptEvent last = AttemptEvent::written;

    // The events that may follow. A pod that has executed the request never claims the opposite.
    std::vector<AttemptEvent> next() const {
        if (ended) return {};
        if (!written) return {AttemptEvent::written, AttemptEvent::unreached, AttemptEvent::cancelled};
        std::vector<AttemptEvent> all{AttemptEvent::connectionLost, AttemptEvent::malformed,
                                      AttemptEvent::timedOut, AttemptEvent::cancelled};
        if (executed) all.push_back(AttemptEvent::answered);
        else all.insert(all.end(), {AttemptEvent::rejectedByHost, AttemptEvent::misdirected});
        return all;
    }
    ActualAttempt with(AttemptEvent event) const {
        ActualAttempt actual = *this;
        actual.last = event;
        (event == AttemptEvent::written ? actual.written : actual.ended) = true;
        return actual;
    }
};

using Table = std::vector<Transition>;
const Table kTable(kTransitions.begin(), kTransitions.end());

// The first rule that a transition table violates; empty if none.
std::string violation(const Table& table) {
    std::set<std::pair<AttemptState, AttemptEvent>> possible;
    std::string violated;
    const std::function<void(ActualAttempt, AttemptState)> walk = [&](ActualAttempt actual,
                                                                      AttemptState state) {
        if (!violated.empty()) return;
        if (actual.executed && state != AttemptState::maybeExecuted && state != AttemptState::answered)
            violated = std::string("Sound: executed, but ") + name(state);
        else if (!actual.written && state != AttemptState::unsent && !actual.ended)
            violated = "Exact: nothing written, but not unsent";
        else if (actual.ended && state == AttemptState::unsent) violated = "Exact: ended, but unsent";
        else if ((state == AttemptState::answered) != (actual.ended && actual.last == AttemptEvent::answered))
            violated = "Exact: state answered without the event, or the reverse";
        else if (state == AttemptState::knownNotExecuted && actual.written &&
                 actual.last != AttemptEvent::rejectedByHost && actual.last != AttemptEvent::misdirected)
            violated = "Proven: not executed, but not stated by the pod";
        else if (state != AttemptState::knownNotExecuted && actual.ended &&
                 (!actual.written || actual.last == AttemptEvent::rejectedByHost ||
                  actual.last == AttemptEvent::misdirected))
            violated = "Exact: proven not executed, but another state";
        // The pod may execute the request at any time before the attempt ends; a later response is never
        // read.
        if (actual.written && !actual.executed && !actual.ended) {
            ActualAttempt afterExecution = actual;
            afterExecution.executed = true;
            walk(afterExecution, state);
        }
        for (const auto event : actual.next()) {
            possible.emplace(state, event);
            const auto to = nextState(table, state, event);
            if (!to)
                violated =
                    violated.empty() ? std::string("Total: no transition for ") + name(event) : violated;
            else walk(actual.with(event), *to);
        }
    };
    walk({}, AttemptState::unsent);
    for (const auto& transition : table)
        if (violated.empty() && !possible.contains({transition.from, transition.event}))
            violated =
                std::string("Impossible: ") + name(transition.event) + " after " + name(transition.from);
    return violated;
}

// Explores all sequences of events of one request with up to three attempts, and reports the first rule that
// is violated, with the sequence.
struct RequestModel {
    std::function<bool(const Attempts&, bool)> mayAttempt = realMayAttempt;
    std::function<bool(const Attempts&)> mayPromiseNotExecuted = realMayPromise;
    static bool realMayAttempt(const Attempts& attempts, bool idempotent) {
        return lichenlanding::routing::mayAttempt(attempts, idempotent);
    }
    static bool realMayPromise(const Attempts& attempts) {
        return lichenlanding::routing::mayPromiseNotExecuted(attempts);
    }

    std::string violation(bool idempotent) const {
        std::size_t visited = 0;
        return walk({}, {}, idempotent, "", visited);
    }
    std::size_t sequences(bool idempotent) const {
        std::size_t visited = 0;
        walk({}, {}, idempotent, "", visited);
        return visited;
    }

  private:
    using ActualAttempts = std::vector<ActualAttempt>;

    static Attempts copy(const Attempts& attempts) {
        Attempts copies;
        for (const auto& attempt : attempts) copies.push_back(std::make_shared<Attempt>(*attempt));
        return copies;
    }

    std::string walk(const Attempts& attempts, const ActualAttempts& actuals, bool idempotent,
                     const std::string& sequence, std::size_t& visited) const {
        ++visited;
        int executions = 0;
        int inFlightCount = 0;
        int unproven = 0;
        for (const auto& actual : actuals)
            executions += actual.executed, inFlightCount += !actual.ended,
                unproven += actual.written && actual.last != AttemptEvent::rejectedByHost &&
                            actual.last != AttemptEvent::misdirected;
        if (!idempotent && executions > 1) return "TWICE:" + sequence;
        // A promise is final: no attempt has been executed or can still be.
        if (mayPromiseNotExecuted(attempts) && (executions > 0 || inFlightCount > 0 || unproven > 0))
            return "REFUSED:" + sequence;
        if (!mayPromiseNotExecuted(attempts) && inFlightCount == 0 && unproven == 0)
            return "Exact: no promise although nothing was executed:" + sequence;
        std::string violated;
        for (std::size_t index = 0; index < actuals.size() && violated.empty(); ++index) {
            const auto label = " " + std::to_string(index + 1) + " ";
            if (actuals[index].written && !actuals[index].executed && !actuals[index].ended) {
                auto executed = actuals;
                executed[index].executed = true;
                violated = walk(attempts, executed, idempotent, sequence + label + "executed,", visited);
            }
            for (const auto event : actuals[index].next()) {
                if (!violated.empty()) break;
                auto next = actuals;
                next[index] = actuals[index].with(event);
                auto updated = copy(attempts);
                updated[index]->apply(event);
                violated = walk(updated, next, idempotent, sequence + label + name(event) + ",", visited);
            }
        }
        const std::size_t atMost = idempotent ? 2 : 3;
        if (violated.empty() && attempts.size() < atMost && mayAttempt(attempts, idempotent)) {
            auto more = copy(attempts);
            more.push_back(std::make_shared<Attempt>(nullptr));
            auto next = actuals;
            next.emplace_back();
            violated = walk(more, next, idempotent, sequence + " send,", visited);
        }
        return violated;
    }
};

using Classifier = std::function<std::optional<AttemptEvent>(const ResponseHead&)>;

// The first rule for responses that a classifier violates, over all possible response heads.
std::string violatedBy(const Classifier& classifier) {
    for (const int status : {200, 204, 206, 301, 304, 400, 404, 408, 413, 421, 429, 500, 502, 503, 504})
        for (const auto id : {ResponseHead::Id::own, ResponseHead::Id::other, ResponseHead::Id::none})
            for (int bits = 0; bits < 16; ++bits) {
                const ResponseHead response{status,        id, (bits & 1) > 0, (bits & 2) > 0, (bits & 4) > 0,
                                            (bits & 8) > 0};
                const auto event = classifier(response);
                const bool success = status / 100 == 2;
                const bool statedByPod = response.notExecuted || status == 421;
                if (id == ResponseHead::Id::other) {
                    if (event) return "MIXED: a response to another request";
                    continue;
                }
                if (!event) return "LOST: a response that is skipped";
                if (event != AttemptEvent::malformed && !response.delimited)
                    return "MIXED: a truncated response would look complete";
                if ((event == AttemptEvent::rejectedByHost || event == AttemptEvent::misdirected) &&
                    (success || !statedByPod))
                    return "REFUSED: not stated by the pod";
                if (event != AttemptEvent::answered) continue;
                if (success && (id != ResponseHead::Id::own || !response.sealed))
                    return "MIXED: a success without its seal or id";
                if (success && response.encoded) return "MIXED: an encoded body";
                if (success && response.notExecuted) return "MIXED: a success that was not executed";
                if (status == 408 || status == 429 || status == 503 || status == 421)
                    return "REFUSED: a promise passed on that the pod did not state";
            }
    return "";
}

}  // namespace

class AttemptTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AttemptTest);
    CPPUNIT_TEST(tableIsExact);
    CPPUNIT_TEST(tableFaultsAreFound);
    CPPUNIT_TEST(decisionsHoldForEveryRequest);
    CPPUNIT_TEST(faultsInDecisionsAreFound);
    CPPUNIT_TEST(faultsInClassifyingResponsesAreFound);
    CPPUNIT_TEST_SUITE_END();

  public:
    // The whole table, as a transcript for review; and an attempt follows it and nothing else.
    void tableIsExact() {
        CPPUNIT_ASSERT_EQUAL(std::string(), violation(kTable));
        std::string transcript;
        for (const auto& [from, event, to] : kTransitions)
            transcript += std::string(name(from)) + " -- " + name(event) + " -> " + name(to) + "\n";
        for (const auto event : kEvents) {
            Attempt sent(nullptr);
            sent.apply(AttemptEvent::written);
            if (event != AttemptEvent::written && event != AttemptEvent::unreached) {
                sent.apply(event);
                CPPUNIT_ASSERT(sent.end() == event && !sent.inFlight());
                const auto kept = sent.state();
                for (const auto more : kEvents) CPPUNIT_ASSERT_THROW(sent.apply(more), std::logic_error);
                CPPUNIT_ASSERT(sent.state() == kept && sent.end() == event);
            } else {
                CPPUNIT_ASSERT_THROW(sent.apply(event), std::logic_error);
                CPPUNIT_ASSERT(sent.state() == AttemptState::maybeExecuted && sent.inFlight());
            }
        }
        approve("attempt-table", transcript);
    }

    // Each row altered in every way, each row left out and each row added is detected.
    void tableFaultsAreFound() {
        std::map<std::string, int> violated;
        const auto expectViolation = [&](const Table& table) {
            const auto rule = violation(table);
            CPPUNIT_ASSERT(!rule.empty());
            ++violated[rule];
        };
        for (std::size_t index = 0; index < kTable.size(); ++index) {
            for (const auto state : kStates) {
                auto table = kTable;
                if (table[index].to == state) continue;
                table[index].to = state;
                expectViolation(table);
            }
            auto table = kTable;
            table.erase(table.begin() + static_cast<std::ptrdiff_t>(index));
            expectViolation(table);
        }
        for (const auto from : kStates)
            for (const auto event : kEvents)
                for (const auto to : kStates) {
                    if (nextState(kTable, from, event)) continue;
                    auto table = kTable;
                    table.push_back({from, event, to});
                    expectViolation(table);
                }
        std::string transcript;
        for (const auto& [rule, count] : violated) transcript += std::to_string(count) + " x " + rule + "\n";
        approve("attempt-table-faults", transcript);
    }

    void decisionsHoldForEveryRequest() {
        for (const bool idempotent : {true, false})
            CPPUNIT_ASSERT_EQUAL(std::string(), RequestModel().violation(idempotent));
        std::string transcript =
            "sequences of a non-idempotent request with three attempts: " +
            std::to_string(RequestModel().sequences(false)) +
            "\nof an idempotent request with two: " + std::to_string(RequestModel().sequences(true)) + "\n";
        approve("attempt-requests", transcript);
    }

    // A fault in each decision, and the first sequence found that shows it.
    void faultsInDecisionsAreFound() {
        std::string transcript;
        const auto known = [](const Attempt& attempt) {
            return attempt.state() == AttemptState::unsent ||
                   attempt.state() == AttemptState::knownNotExecuted;
        };
        const auto all = [&](const Attempts& attempts) {
            return std::all_of(attempts.begin(), attempts.end(),
                               [&](const auto& one) { return known(*one); });
        };
        const std::vector<std::pair<const char*, std::function<bool(const Attempts&)>>> faults{
            {"attempts in flight are ignored", all},
            {"only the last attempt is considered",
             [&](const Attempts& attempts) {
                 return attempts.empty() || (known(*attempts.back()) && !attempts.back()->inFlight());
             }},
            {"one attempt known not executed is enough",
             [&](const Attempts& attempts) {
                 return attempts.empty() || (inFlight(attempts) == 0 &&
                                             std::any_of(attempts.begin(), attempts.end(),
                                                         [&](const auto& one) { return known(*one); }));
             }},
            {"a reset counts as not executed",
             [&](const Attempts& attempts) {
                 return inFlight(attempts) == 0 &&
                        std::all_of(attempts.begin(), attempts.end(), [&](const auto& one) {
                            return known(*one) || one->end() == AttemptEvent::connectionLost;
                        });
             }},
            {"a timeout counts as not executed",
             [&](const Attempts& attempts) {
                 return inFlight(attempts) == 0 &&
                        std::all_of(attempts.begin(), attempts.end(), [&](const auto& one) {
                            return known(*one) || one->end() == AttemptEvent::timedOut;
                        });
             }},
            {"a rejection by the pod is ignored", [&](const Attempts& attempts) { return attempts.empty(); }},
        };
        for (const auto& [fault, rule] : faults) {
            RequestModel sends;
            RequestModel promises;
            sends.mayAttempt = [&rule = rule](const Attempts& attempts, bool) { return rule(attempts); };
            promises.mayPromiseNotExecuted = rule;
            const auto twice = sends.violation(false);
            auto refused = promises.violation(false);
            if (refused.empty()) refused = promises.violation(true);
            CPPUNIT_ASSERT(!refused.empty());
            transcript += std::string(fault) +
                          "\n  decides on an attempt: " + (twice.empty() ? "no harm" : twice) +
                          "\n  decides on a promise:  " + refused + "\n";
        }
        approve("attempt-request-faults", transcript);
    }

    void faultsInClassifyingResponsesAreFound() {
        CPPUNIT_ASSERT_EQUAL(std::string(), violatedBy(classifyResponse));
        std::string transcript;
        const auto with = [](std::function<void(ResponseHead&)> change) -> Classifier {
            return [change](const ResponseHead& response) {
                auto changed = response;
                change(changed);
                return classifyResponse(changed);
            };
        };
        for (const auto& [fault, classifier] :
             std::vector<std::pair<const char*, Classifier>>{{"the id is ignored", with([](ResponseHead& a) {
                                                                  a.id = ResponseHead::Id::own;
                                                              })},
                                                             {"the id is checked for a success only",
                                                              with([](ResponseHead& a) {
                                                                  a.id = a.status / 100 == 2
                                                                             ? a.id
                                                                             : ResponseHead::Id::own;
                                                              })},
                                                             {"a response without an id counts as this "
                                                              "request's",
                                                              with([](ResponseHead& a) {
                                                                  a.id = a.id == ResponseHead::Id::none
                                                                             ? ResponseHead::Id::own
                                                                             : a.id;
                                                              })},
                                                             {"each response counts as another request's",
                                                              [](const ResponseHead&) {
                                                                  return std::nullopt;
                                                              }},
                                                             {"the seal is ignored",
                                                              with([](ResponseHead& a) { a.sealed = true; })},
                                                             {"the encoding is ignored",
                                                              with([](ResponseHead& a) {
                                                                  a.encoded = false;
                                                              })},
                                                             {"the framing of the body is ignored",
                                                              with([](ResponseHead& a) {
                                                                  a.delimited = true;
                                                              })},
                                                             {"a 503 counts as not executed",
                                                              with([](ResponseHead& a) {
                                                                  a.notExecuted =
                                                                      a.notExecuted || a.status == 503;
                                                              })},
                                                             {"a pod's 429 is passed on",
                                                              [](const ResponseHead& a) {
                                                                  return a.status == 429 &&
                                                                                 a.id ==
                                                                                     ResponseHead::Id::own &&
                                                                                 a.delimited
                                                                             ? AttemptEvent::answered
                                                                             : classifyResponse(a);
                                                              }},
                                                             {"a success counts as rejected if it "
                                                              "says so",
                                                              [](const ResponseHead& a) {
                                                                  return a.notExecuted &&
                                                                                 a.id ==
                                                                                     ResponseHead::Id::own &&
                                                                                 a.delimited
                                                                             ? AttemptEvent::rejectedByHost
                                                                             : classifyResponse(a);
                                                              }}}) {
            const auto rule = violatedBy(classifier);
            CPPUNIT_ASSERT_MESSAGE(fault, !rule.empty());
            transcript += std::string(fault) + " - " + rule + "\n";
        }
        approve("attempt-answers", transcript);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AttemptTest);
