// The subset of hosts that one proxy of a large fleet prefers: small enough that connections are reused, each
// host in the subsets of a few proxies, and stable while hosts and proxies are added and removed.
#include "routing/host_subset.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "support/transcript.hpp"

using namespace lichenlanding::routing;

namespace {

using Hosts = std::vector<std::shared_ptr<UpstreamHost>>;

Hosts hostsFor(const std::string& proxy, int count, int firstNumber = 0) {
    const HostSubset subset(proxy);
    Hosts hosts;
    for (int number = firstNumber; number < firstNumber + count; ++number) {
        auto host = std::make_shared<UpstreamHost>();
        host->endpoint.id = "i-" + std::to_string(number);
        host->subsetRank = subset.rankOf(host->endpoint.id);
        hosts.push_back(host);
    }
    return hosts;
}

std::set<std::string> preferred(const std::string& proxy, int hosts, std::size_t proxies,
                                int firstNumber = 0) {
    const auto all = hostsFor(proxy, hosts, firstNumber);
    HostSubset::markPreferred(all, proxies);
    std::set<std::string> names;
    for (const auto& host : all)
        if (host->preferred) names.insert(host->endpoint.id);
    return names;
}

std::size_t countMissing(const std::set<std::string>& from, const std::set<std::string>& in) {
    return static_cast<std::size_t>(
        std::count_if(in.begin(), in.end(), [&](const auto& name) { return !from.contains(name); }));
}

}  // namespace

class HostSubsetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HostSubsetTest);
    CPPUNIT_TEST(smallFleetsPreferAll);
    CPPUNIT_TEST(eachHostIsPreferredByAFewProxies);
    CPPUNIT_TEST(changesOnlyByAddedAndRemovedHosts);
    CPPUNIT_TEST_SUITE_END();

  public:
    void smallFleetsPreferAll() {
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, preferred("e1", 11, 4).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, preferred("e1", 12, 500).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, preferred("e1", 100, 8).size());
        CPPUNIT_ASSERT(preferred("e1", 0, 8).empty());
    }

    void eachHostIsPreferredByAFewProxies() {
        constexpr int kHosts = 161;
        constexpr int kProxies = 49;
        std::map<std::string, int> proxiesPerHost;
        for (int proxy = 0; proxy < kProxies; ++proxy)
            for (const auto& host : preferred("e" + std::to_string(proxy), kHosts, kProxies))
                ++proxiesPerHost[host];
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(kHosts), proxiesPerHost.size());
        for (const auto& [host, count] : proxiesPerHost)
            CPPUNIT_ASSERT_MESSAGE(host, count >= 1 && count <= 20);
    }

    // Adding or removing a host changes at most one member; with more proxies the subset shrinks to a part of
    // itself.
    void changesOnlyByAddedAndRemovedHosts() {
        const auto before = preferred("e7", 160, 49);
        CPPUNIT_ASSERT(countMissing(before, preferred("e7", 161, 49)) <= 1);
        CPPUNIT_ASSERT(countMissing(before, preferred("e7", 159, 49, 1)) <= 1);
        const auto fewer = preferred("e7", 160, 60);
        CPPUNIT_ASSERT(fewer.size() < before.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countMissing(before, fewer));
        CPPUNIT_ASSERT(preferred("e8", 160, 49) != before);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HostSubsetTest);
