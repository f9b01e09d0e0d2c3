// Which ended rollouts stay on record, however many others are ordered after them.
#include <cppunit/extensions/HelperMacros.h>

#include "admin/rollout_requests.hpp"
#include "messages/codec.hpp"

using namespace lichenlanding;
using admin::RepeatWindow, admin::RolloutRequestOutcome;

namespace {

constexpr std::int64_t kRepeatWindowMs = 5000;
constexpr std::int64_t kTimeLimitMs = 6000;
constexpr std::size_t kOthers = admin::kMaxEndedRollouts + 8;
// By the ages on record.
const RepeatWindow kRepeats{kRepeatWindowMs, [](const messages::Rollout& rollout) { return rollout.ageMs; }};

// The register's value, as a sequence of orders leaves it.
class Record {
  public:
    messages::Rollouts rollouts() const { return messages::decodeRollouts(value_); }

    RolloutRequestOutcome order(const std::string& service, const std::string& target) {
        messages::Rollout request;
        request.service = service;
        request.target = target;
        request.timeLimitMs = kTimeLimitMs;
        const auto outcome = admin::classifyRequest(rollouts(), request, kRepeats);
        value_ = admin::addRollout(value_, request, kRepeats);
        return outcome;
    }

    /// Ends the running rollouts.
    void end(const std::string& state) {
        auto all = rollouts();
        std::int64_t number = 0;
        for (const auto& one : all) number = std::max(number, one.number);
        for (auto& one : all)
            if (one.running()) one.state = state, one.number = ++number;
        value_ = messages::encode(all);
    }

    /// Lets the repeat window of all rollouts pass.
    void age() {
        auto all = rollouts();
        for (auto& one : all) one.ageMs = kRepeatWindowMs + 1;
        value_ = messages::encode(all);
    }

    void orderAndEnd(const std::string& service, const std::string& target, const std::string& state) {
        order(service, target);
        end(state);
        age();
    }

    const messages::Rollout* newest(const std::string& service) {
        held_ = rollouts();
        return admin::newestRollout(held_, service);
    }

    bool has(const std::string& service, const std::string& target) const {
        for (const auto& one : rollouts())
            if (one.service == service && one.target == target) return true;
        return false;
    }

  private:
    std::string value_;
    messages::Rollouts held_;
};

}  // namespace

class NeededRolloutsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(NeededRolloutsTest);
    CPPUNIT_TEST(newestRolloutOfAServiceIsKept);
    CPPUNIT_TEST(rolloutsThatMayBeRepeatedAreKept);
    CPPUNIT_TEST(generationsRiseAcrossDroppedRollouts);
    CPPUNIT_TEST(generationsRiseAcrossAReorderedRollout);
    CPPUNIT_TEST(versionsOfAServiceWithoutACompletedRolloutAreKept);
    CPPUNIT_TEST(otherEndedRolloutsAreDropped);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Guards against review/7: after 40 rollouts of other services the outcome of a rolled-back one was gone.
    void newestRolloutOfAServiceIsKept() {
        Record record;
        record.orderAndEnd("shop", "v1", messages::kRolloutCompleted);
        record.orderAndEnd("shop", "v2", messages::kRolloutRolledBack);
        for (std::size_t at = 0; at < kOthers; ++at)
            record.orderAndEnd("s" + std::to_string(at % 8), "v" + std::to_string(at),
                               messages::kRolloutRolledBack);
        const auto* newest = record.newest("shop");
        CPPUNIT_ASSERT(newest);
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), newest->target);
        CPPUNIT_ASSERT_EQUAL(std::string(messages::kRolloutRolledBack), newest->state);
    }

    // Guards against a repeat within `ack` that began a rollout a second time, since its order had been
    // dropped.
    void rolloutsThatMayBeRepeatedAreKept() {
        Record record;
        record.orderAndEnd("shop", "v1", messages::kRolloutCompleted);
        record.order("shop", "v2");
        record.order("shop", "v3");
        record.end(messages::kRolloutRolledBack);
        for (std::size_t at = 0; at < kOthers; ++at) {
            record.order("s" + std::to_string(at), "v2");
            record.end(messages::kRolloutRolledBack);
        }
        CPPUNIT_ASSERT(record.order("shop", "v2") == RolloutRequestOutcome::known);
        CPPUNIT_ASSERT_EQUAL(std::string(messages::kRolloutRolledBack), record.newest("shop")->state);
        record.age();
        CPPUNIT_ASSERT(record.order("shop", "v2") == RolloutRequestOutcome::begun);
    }

    // Guards against a rollout with the key of an earlier one, whose age and votes were taken for its own.
    void generationsRiseAcrossDroppedRollouts() {
        Record record;
        record.orderAndEnd("shop", "v1", messages::kRolloutCompleted);
        record.orderAndEnd("shop", "v2", messages::kRolloutRolledBack);
        const auto first = *record.newest("shop");
        for (std::size_t at = 0; at < kOthers; ++at)
            record.orderAndEnd("shop", "w" + std::to_string(at), messages::kRolloutRolledBack);
        CPPUNIT_ASSERT(!record.has("shop", "v2"));
        record.order("shop", "v2");
        const auto second = *record.newest("shop");
        CPPUNIT_ASSERT_EQUAL(first.versionKey(), second.versionKey());
        CPPUNIT_ASSERT(first.key() != second.key());
    }

    // The newest rollout of a service need not have its highest generation: an order for a running rollout
    // makes that the newest.
    void generationsRiseAcrossAReorderedRollout() {
        Record record;
        record.orderAndEnd("shop", "v1", messages::kRolloutCompleted);
        record.order("shop", "v2");
        record.order("shop", "v3");
        const auto first = *record.newest("shop");
        record.age();
        CPPUNIT_ASSERT(record.order("shop", "v2") == RolloutRequestOutcome::running);
        record.end(messages::kRolloutRolledBack);
        record.age();
        for (std::size_t at = 0; at < kOthers; ++at)
            record.orderAndEnd("other", "w" + std::to_string(at), messages::kRolloutCompleted);
        record.order("shop", "v3");
        CPPUNIT_ASSERT(first.key() != record.newest("shop")->key());
    }

    // Guards against a proxy that starts anew and takes a rolled-back version for the one in service, because
    // the version has no rollout on record any more.
    void versionsOfAServiceWithoutACompletedRolloutAreKept() {
        Record record;
        record.orderAndEnd("shop", "v2", messages::kRolloutRolledBack);
        record.orderAndEnd("shop", "v3", messages::kRolloutRolledBack);
        for (std::size_t at = 0; at < kOthers; ++at)
            record.orderAndEnd("other", "w" + std::to_string(at), messages::kRolloutCompleted);
        CPPUNIT_ASSERT(record.has("shop", "v2"));
        CPPUNIT_ASSERT(record.has("shop", "v3"));
        record.orderAndEnd("shop", "v4", messages::kRolloutCompleted);
        for (std::size_t at = 0; at < kOthers; ++at)
            record.orderAndEnd("other", "x" + std::to_string(at), messages::kRolloutCompleted);
        CPPUNIT_ASSERT(!record.has("shop", "v2"));
        CPPUNIT_ASSERT(record.has("shop", "v4"));
    }

    void otherEndedRolloutsAreDropped() {
        Record record;
        for (int at = 0; at < 300; ++at)
            record.orderAndEnd("s" + std::to_string(at % 3), "v" + std::to_string(at),
                               at % 4 ? messages::kRolloutRolledBack : messages::kRolloutCompleted);
        // Of each service the newest, the one completed last and the one with the highest generation.
        CPPUNIT_ASSERT(record.rollouts().size() <= admin::kMaxEndedRollouts + 3 * 3);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NeededRolloutsTest);
