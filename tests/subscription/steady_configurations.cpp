// Proxies fetch the configuration while it changes faster than a link transfers it.
#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "messages/codec.hpp"
#include "messages/wire_names.hpp"
#include "subscription/configuration_cache.hpp"

using namespace lichenlanding;
using subscription::ConfigurationCache, subscription::PendingFetch;
using Json = nlohmann::json;
using Source = ConfigurationCache::MessageSource;

namespace {

constexpr Nanos kMillisecond = 1'000'000;
constexpr Nanos kChangeInterval = 60 * kMillisecond;
constexpr Nanos kTransferTime = 250 * kMillisecond;  // of one configuration

// A control node and a proxy. Configurations cross the link one after the other, other messages at once.
class SlowLink {
  public:
    void change(std::uint32_t version) {
        controlNode_.setConfiguration(version, "body " + std::to_string(version));
        toProxy(controlNode_.versionsMessage());
    }
    void advance(Nanos duration) {
        const Nanos until = now_ + duration;
        while (!transfers_.empty() && transfers_.front().arrivesAt <= until) {
            now_ = std::max(now_, transfers_.front().arrivesAt);
            const auto message = std::move(transfers_.front().message);
            transfers_.pop_front();
            toProxy(message);
        }
        now_ = until;
    }
    /// Loses what is on its way, as when the connection ends.
    void lose() { transfers_.clear(); }
    void sendDigest() { toProxy(controlNode_.digestMessage()); }
    bool askForDigestIfOverdue() {
        if (!proxy_.takeConfigurationOverdue(now_)) return false;
        toControlNode(proxy_.digestMessage());
        return true;
    }

    std::uint32_t proxyVersion() const { return proxy_.version(); }
    std::size_t queued() const { return transfers_.size(); }

  private:
    struct Transfer {
        Json message;
        Nanos arrivesAt;
    };
    void toProxy(const Json& message) {
        proxy_.handleMessage(message, Source::controlNode, now_,
                             [this](const Json& reply) { toControlNode(reply); });
    }
    void toControlNode(const Json& message) {
        controlNode_.handleMessage(message, Source::subscriber, now_, [this](const Json& reply) {
            if (messages::typeOf(reply) != messages::kTypeConfiguration) return toProxy(reply);
            const Nanos begin = transfers_.empty() ? now_ : std::max(now_, transfers_.back().arrivesAt);
            transfers_.push_back({reply, begin + kTransferTime});
        });
    }

    ConfigurationCache controlNode_{{}}, proxy_{{}};
    std::deque<Transfer> transfers_;
    Nanos now_ = 1'000 * kMillisecond;
};

}  // namespace

class SteadyConfigurationsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SteadyConfigurationsTest);
    CPPUNIT_TEST(proxyKeepsUpOverASlowLink);
    CPPUNIT_TEST(lostConfigurationIsFetchedAgain);
    CPPUNIT_TEST(requestsAreRepeatedAtGrowingIntervals);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Guards against a proxy that gets further behind with each change, until its connection is closed for
    // the bytes that wait in its queue.
    void proxyKeepsUpOverASlowLink() {
        SlowLink link;
        constexpr std::uint32_t kChanges = 200;
        constexpr std::uint32_t kMostBehind = 2 * kTransferTime / kChangeInterval + 2;
        for (std::uint32_t version = 1; version <= kChanges; ++version) {
            link.change(version);
            link.advance(kChangeInterval);
            CPPUNIT_ASSERT(link.queued() <= 1);
            CPPUNIT_ASSERT(version <= kMostBehind || link.proxyVersion() >= version - kMostBehind);
        }
        link.advance(2 * kTransferTime);
        CPPUNIT_ASSERT_EQUAL(kChanges, link.proxyVersion());
    }

    // The announcements during a request are not forgotten when its answer is lost.
    void lostConfigurationIsFetchedAgain() {
        SlowLink link;
        link.change(1);
        link.change(2);
        link.lose();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), link.proxyVersion());
        Nanos waited = 0;
        while (link.proxyVersion() != 2 && waited < 3'000 * kMillisecond) {
            link.advance(100 * kMillisecond);
            waited += 100 * kMillisecond;
            link.askForDigestIfOverdue();
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), link.proxyVersion());
        CPPUNIT_ASSERT(!link.askForDigestIfOverdue());
    }

    void requestsAreRepeatedAtGrowingIntervals() {
        PendingFetch fetch;
        CPPUNIT_ASSERT(!fetch.isDue(0, 0));
        fetch.onAnnounced(7);
        CPPUNIT_ASSERT(fetch.isDue(6, 0) && !fetch.isDue(7, 0));
        Nanos now = 10'000 * kMillisecond;
        for (const int milliseconds : {400, 800, 1600, 1600}) {
            fetch.onRequested(now);
            CPPUNIT_ASSERT(!fetch.isDue(0, now + milliseconds * kMillisecond));
            now += milliseconds * kMillisecond + 1;
            CPPUNIT_ASSERT(fetch.isDue(0, now));
        }
        fetch.onRequested(now);
        fetch.onArrived();
        CPPUNIT_ASSERT(fetch.isDue(6, now) && !fetch.isDue(7, now));
        fetch.onRequested(now);
        CPPUNIT_ASSERT(fetch.isDue(6, now + 401 * kMillisecond));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SteadyConfigurationsTest);
