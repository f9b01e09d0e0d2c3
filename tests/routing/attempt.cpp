// The states of an attempt and what is concluded from them, against a world in which pods run what reached
// them whenever they like. Each rule is also broken on purpose, to show that these checks can fail.
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

// One send, as it is: what happened to it, and whether its pod has run it.
struct World {
    bool written = false, ended = false, ran = false;
    AttemptEvent last = AttemptEvent::written;

    // What may happen next. A pod that has run it doesn't say that it hasn't.
    std::vector<AttemptEvent> next() const {
        if (ended) return {};
        if (!written) return {AttemptEvent::written, AttemptEvent::unreached, AttemptEvent::cancelled};
        std::vector<AttemptEvent> all{AttemptEvent::connectionLost, AttemptEvent::malformed,
                                      AttemptEvent::timedOut, AttemptEvent::cancelled};
        if (ran) all.push_back(AttemptEvent::answered);
        else all.insert(all.end(), {AttemptEvent::rejectedByHost, AttemptEvent::misdirected});
        return all;
    }
    World with(AttemptEvent event) const {
        World world = *this;
        world.last = event;
        (event == AttemptEvent::written ? world.written : world.ended) = true;
        return world;
    }
};

using Table = std::vector<Transition>;
const Table kProduct(kTransitions.begin(), kTransitions.end());

// The first rule of the states that a table breaks; empty: none.
std::string broken(const Table& table) {
    std::set<std::pair<AttemptState, AttemptEvent>> possible;
    std::string found;
    const std::function<void(World, AttemptState)> walk = [&](World world, AttemptState state) {
        if (!found.empty()) return;
        if (world.ran && state != AttemptState::maybeExecuted && state != AttemptState::answered)
            found = std::string("Honest: run, but ") + name(state);
        else if (!world.written && state != AttemptState::unsent && !world.ended)
            found = "Exact: nothing was written";
        else if (world.ended && state == AttemptState::unsent) found = "Exact: ended, but unsent";
        else if ((state == AttemptState::answered) != (world.ended && world.last == AttemptEvent::answered))
            found = "Exact: answered is what was answered";
        else if (state == AttemptState::knownNotExecuted && world.written &&
                 world.last != AttemptEvent::rejectedByHost && world.last != AttemptEvent::misdirected)
            found = "NeverBack: not by the pod's own word";
        else if (state != AttemptState::knownNotExecuted && world.ended &&
                 (!world.written || world.last == AttemptEvent::rejectedByHost ||
                  world.last == AttemptEvent::misdirected))
            found = "Exact: surely not run, but not known";
        // The pod may run it at any moment while it is there; what it is late to say is never said.
        if (world.written && !world.ran && !world.ended) {
            World run = world;
            run.ran = true;
            walk(run, state);
        }
        for (const auto event : world.next()) {
            possible.emplace(state, event);
            const auto to = after(table, state, event);
            if (!to) found = found.empty() ? std::string("Total: no way on for ") + name(event) : found;
            else walk(world.with(event), *to);
        }
    };
    walk({}, AttemptState::unsent);
    for (const auto& transition : table)
        if (found.empty() && !possible.contains({transition.from, transition.event}))
            found = std::string("NeverBack: ") + name(transition.event) + " after " + name(transition.from);
    return found;
}

// All ways of one request through up to three sends; the first rule broken, and how.
struct RequestModel {
    std::function<bool(const Attempts&, bool)> mayAttempt = productMayAttempt;
    std::function<bool(const Attempts&)> mayPromiseNotExecuted = productMayPromise;
    static bool productMayAttempt(const Attempts& attempts, bool repeatable) {
        return lichenlanding::routing::mayAttempt(attempts, repeatable);
    }
    static bool productMayPromise(const Attempts& attempts) {
        return lichenlanding::routing::mayPromiseNotExecuted(attempts);
    }

    std::string broken(bool repeatable) const {
        std::size_t seen = 0;
        return walk({}, {}, repeatable, "", seen);
    }
    std::size_t ways(bool repeatable) const {
        std::size_t seen = 0;
        walk({}, {}, repeatable, "", seen);
        return seen;
    }

  private:
    using Worlds = std::vector<World>;

    static Attempts copy(const Attempts& attempts) {
        Attempts copies;
        for (const auto& attempt : attempts) copies.push_back(std::make_shared<Attempt>(*attempt));
        return copies;
    }

    std::string walk(const Attempts& attempts, const Worlds& worlds, bool repeatable, const std::string& way,
                     std::size_t& seen) const {
        ++seen;
        int runs = 0;
        int open = 0;
        int silent = 0;
        for (const auto& world : worlds)
            runs += world.ran, open += !world.ended,
                silent += world.written && world.last != AttemptEvent::rejectedByHost &&
                          world.last != AttemptEvent::misdirected;
        if (!repeatable && runs > 1) return "TWICE:" + way;
        // What is promised holds for good: nothing that may still run, nor what has.
        if (mayPromiseNotExecuted(attempts) && (runs > 0 || open > 0 || silent > 0)) return "REFUSED:" + way;
        if (!mayPromiseNotExecuted(attempts) && open == 0 && silent == 0)
            return "Exact: no promise though nothing ran:" + way;
        std::string found;
        for (std::size_t at = 0; at < worlds.size() && found.empty(); ++at) {
            const auto label = " " + std::to_string(at + 1) + " ";
            if (worlds[at].written && !worlds[at].ran && !worlds[at].ended) {
                auto ran = worlds;
                ran[at].ran = true;
                found = walk(attempts, ran, repeatable, way + label + "runs,", seen);
            }
            for (const auto event : worlds[at].next()) {
                if (!found.empty()) break;
                auto next = worlds;
                next[at] = worlds[at].with(event);
                auto told = copy(attempts);
                told[at]->apply(event);
                found = walk(told, next, repeatable, way + label + name(event) + ",", seen);
            }
        }
        const std::size_t atMost = repeatable ? 2 : 3;
        if (found.empty() && attempts.size() < atMost && mayAttempt(attempts, repeatable)) {
            auto more = copy(attempts);
            more.push_back(std::make_shared<Attempt>(nullptr));
            auto next = worlds;
            next.emplace_back();
            found = walk(more, next, repeatable, way + " send,", seen);
        }
        return found;
    }
};

using Judge = std::function<std::optional<AttemptEvent>(const ResponseHead&)>;

// The first rule of answers that a judge breaks, over every head there may be.
std::string brokenBy(const Judge& judged) {
    for (const int status : {200, 204, 206, 301, 304, 400, 404, 408, 413, 421, 429, 500, 502, 503, 504})
        for (const auto id : {ResponseHead::Id::own, ResponseHead::Id::other, ResponseHead::Id::none})
            for (int bits = 0; bits < 16; ++bits) {
                const ResponseHead answer{status,        id, (bits & 1) > 0, (bits & 2) > 0, (bits & 4) > 0,
                                          (bits & 8) > 0};
                const auto event = judged(answer);
                const bool success = status / 100 == 2;
                const bool word = answer.notExecuted || status == 421;
                if (id == ResponseHead::Id::other) {
                    if (event) return "MIXED: an answer to another request";
                    continue;
                }
                if (!event) return "LOST: an answer that is read past";
                if (event != AttemptEvent::malformed && !answer.delimited)
                    return "MIXED: cut short, it would look whole";
                if ((event == AttemptEvent::rejectedByHost || event == AttemptEvent::misdirected) &&
                    (success || !word))
                    return "REFUSED: not by the pod's word";
                if (event != AttemptEvent::answered) continue;
                if (success && (id != ResponseHead::Id::own || !answer.sealed))
                    return "MIXED: a success without its stamp or id";
                if (success && answer.encoded) return "MIXED: an encoded body";
                if (success && answer.notExecuted) return "MIXED: a success that was not run";
                if (status == 408 || status == 429 || status == 503 || status == 421)
                    return "REFUSED: a promise passed on without the pod's word";
            }
    return "";
}

}  // namespace

class AttemptTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AttemptTest);
    CPPUNIT_TEST(tableIsExact);
    CPPUNIT_TEST(tableFaultsAreFound);
    CPPUNIT_TEST(conclusionsHoldForEveryRequest);
    CPPUNIT_TEST(faultsInConclusionsAreFound);
    CPPUNIT_TEST(faultsInJudgingAnswersAreFound);
    CPPUNIT_TEST_SUITE_END();

  public:
    // The table as it stands, read by people; and that an attempt goes by it, and by nothing else.
    void tableIsExact() {
        CPPUNIT_ASSERT_EQUAL(std::string(), broken(kProduct));
        std::string seen;
        for (const auto& [from, event, to] : kTransitions)
            seen += std::string(name(from)) + " -- " + name(event) + " -> " + name(to) + "\n";
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
        approve("attempt-table", seen);
    }

    // Every row made wrong in every way, left out, and every row that isn't there: each is found.
    void tableFaultsAreFound() {
        std::map<std::string, int> found;
        const auto tell = [&](const Table& table) {
            const auto rule = broken(table);
            CPPUNIT_ASSERT(!rule.empty());
            ++found[rule];
        };
        for (std::size_t at = 0; at < kProduct.size(); ++at) {
            for (const auto state : kStates) {
                auto table = kProduct;
                if (table[at].to == state) continue;
                table[at].to = state;
                tell(table);
            }
            auto table = kProduct;
            table.erase(table.begin() + static_cast<std::ptrdiff_t>(at));
            tell(table);
        }
        for (const auto from : kStates)
            for (const auto event : kEvents)
                for (const auto to : kStates) {
                    if (after(kProduct, from, event)) continue;
                    auto table = kProduct;
                    table.push_back({from, event, to});
                    tell(table);
                }
        std::string seen;
        for (const auto& [rule, count] : found) seen += std::to_string(count) + " x " + rule + "\n";
        approve("attempt-table-faults", seen);
    }

    void conclusionsHoldForEveryRequest() {
        for (const bool repeatable : {true, false})
            CPPUNIT_ASSERT_EQUAL(std::string(), RequestModel().broken(repeatable));
        std::string seen = "ways of an unrepeatable request through three sends: " +
                           std::to_string(RequestModel().ways(false)) +
                           "\nof a repeatable one through two: " + std::to_string(RequestModel().ways(true)) +
                           "\n";
        approve("attempt-requests", seen);
    }

    // A fault in each conclusion, and the shortest way there that is found.
    void faultsInConclusionsAreFound() {
        std::string seen;
        const auto known = [](const Attempt& attempt) {
            return attempt.state() == AttemptState::unsent ||
                   attempt.state() == AttemptState::knownNotExecuted;
        };
        const auto all = [&](const Attempts& attempts) {
            return std::all_of(attempts.begin(), attempts.end(),
                               [&](const auto& one) { return known(*one); });
        };
        const std::vector<std::pair<const char*, std::function<bool(const Attempts&)>>> faults{
            {"what is in flight is not looked at", all},
            {"only the last send is looked at",
             [&](const Attempts& attempts) {
                 return attempts.empty() || (known(*attempts.back()) && !attempts.back()->inFlight());
             }},
            {"one that surely did not run is enough",
             [&](const Attempts& attempts) {
                 return attempts.empty() || (inFlight(attempts) == 0 &&
                                             std::any_of(attempts.begin(), attempts.end(),
                                                         [&](const auto& one) { return known(*one); }));
             }},
            {"a reset is taken for not run",
             [&](const Attempts& attempts) {
                 return inFlight(attempts) == 0 &&
                        std::all_of(attempts.begin(), attempts.end(), [&](const auto& one) {
                            return known(*one) || one->end() == AttemptEvent::connectionLost;
                        });
             }},
            {"silence is taken for not run",
             [&](const Attempts& attempts) {
                 return inFlight(attempts) == 0 &&
                        std::all_of(attempts.begin(), attempts.end(), [&](const auto& one) {
                            return known(*one) || one->end() == AttemptEvent::timedOut;
                        });
             }},
            {"a refusal is not believed", [&](const Attempts& attempts) { return attempts.empty(); }},
        };
        for (const auto& [fault, rule] : faults) {
            RequestModel sends;
            RequestModel promises;
            sends.mayAttempt = [&rule = rule](const Attempts& attempts, bool) { return rule(attempts); };
            promises.mayPromiseNotExecuted = rule;
            const auto twice = sends.broken(false);
            auto refused = promises.broken(false);
            if (refused.empty()) refused = promises.broken(true);
            CPPUNIT_ASSERT(!refused.empty());
            seen += std::string(fault) +
                    "\n  asked before a send:    " + (twice.empty() ? "no harm" : twice) +
                    "\n  asked before a promise: " + refused + "\n";
        }
        approve("attempt-request-faults", seen);
    }

    void faultsInJudgingAnswersAreFound() {
        CPPUNIT_ASSERT_EQUAL(std::string(), brokenBy(classifyResponse));
        std::string seen;
        const auto with = [](std::function<void(ResponseHead&)> change) -> Judge {
            return [change](const ResponseHead& answer) {
                auto changed = answer;
                change(changed);
                return classifyResponse(changed);
            };
        };
        for (const auto& [fault, judged] :
             std::vector<std::pair<const char*, Judge>>{{"the id is not looked at", with([](ResponseHead& a) {
                                                             a.id = ResponseHead::Id::own;
                                                         })},
                                                        {"the id is looked at for a success alone",
                                                         with([](ResponseHead& a) {
                                                             a.id = a.status / 100 == 2
                                                                        ? a.id
                                                                        : ResponseHead::Id::own;
                                                         })},
                                                        {"an answer without an id is taken for this "
                                                         "one",
                                                         with([](ResponseHead& a) {
                                                             a.id = a.id == ResponseHead::Id::none
                                                                        ? ResponseHead::Id::own
                                                                        : a.id;
                                                         })},
                                                        {"every answer counts as another's",
                                                         [](const ResponseHead&) { return std::nullopt; }},
                                                        {"the stamp is not looked at",
                                                         with([](ResponseHead& a) { a.sealed = true; })},
                                                        {"the encoding is not looked at",
                                                         with([](ResponseHead& a) { a.encoded = false; })},
                                                        {"the end of the body is not looked at",
                                                         with([](ResponseHead& a) { a.delimited = true; })},
                                                        {"a 503 is taken for a refusal",
                                                         with([](ResponseHead& a) {
                                                             a.notExecuted = a.notExecuted || a.status == 503;
                                                         })},
                                                        {"a pod's 429 is passed on",
                                                         [](const ResponseHead& a) {
                                                             return a.status == 429 &&
                                                                            a.id == ResponseHead::Id::own &&
                                                                            a.delimited
                                                                        ? AttemptEvent::answered
                                                                        : classifyResponse(a);
                                                         }},
                                                        {"a success counts as turned away where it "
                                                         "says so",
                                                         [](const ResponseHead& a) {
                                                             return a.notExecuted &&
                                                                            a.id == ResponseHead::Id::own &&
                                                                            a.delimited
                                                                        ? AttemptEvent::rejectedByHost
                                                                        : classifyResponse(a);
                                                         }}}) {
            const auto rule = brokenBy(judged);
            CPPUNIT_ASSERT_MESSAGE(fault, !rule.empty());
            seen += std::string(fault) + " - " + rule + "\n";
        }
        approve("attempt-answers", seen);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AttemptTest);
