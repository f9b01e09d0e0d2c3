// The hosts that one proxy of a large fleet prefers: few enough to be met often, shared by a few proxies
// each, and the same while hosts and proxies come and go.
#include "routing/host_subset.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "support/transcript.hpp"

using namespace lichenlanding::routing;

namespace {

using Hosts = std::vector<std::shared_ptr<UpstreamHost>>;

Hosts hostsFor(const std::string& proxy, int count, int first = 0) {
    const HostSubset subset(proxy);
    Hosts hosts;
    for (int number = first; number < first + count; ++number) {
        auto host = std::make_shared<UpstreamHost>();
        host->endpoint.id = "i-" + std::to_string(number);
        host->subsetRank = subset.rankOf(host->endpoint.id);
        hosts.push_back(host);
    }
    return hosts;
}

std::set<std::string> preferred(const std::string& proxy, int hosts, std::size_t proxies, int first = 0) {
    const auto all = hostsFor(proxy, hosts, first);
    HostSubset::markPreferred(all, proxies);
    std::set<std::string> names;
    for (const auto& host : all)
        if (host->preferred) names.insert(host->endpoint.id);
    return names;
}

std::size_t missing(const std::set<std::string>& from, const std::set<std::string>& in) {
    return static_cast<std::size_t>(
        std::count_if(in.begin(), in.end(), [&](const auto& name) { return !from.contains(name); }));
}

}  // namespace

class HostSubsetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HostSubsetTest);
    CPPUNIT_TEST(smallFleetsPreferAll);
    CPPUNIT_TEST(eachHostIsMetByAFewProxies);
    CPPUNIT_TEST(changesOnlyByWhatComesOrGoes);
    CPPUNIT_TEST_SUITE_END();

  public:
    void smallFleetsPreferAll() {
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, preferred("e1", 11, 4).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, preferred("e1", 12, 500).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, preferred("e1", 100, 8).size());
        CPPUNIT_ASSERT(preferred("e1", 0, 8).empty());
    }

    void eachHostIsMetByAFewProxies() {
        constexpr int kHosts = 161;
        constexpr int kProxies = 49;
        std::map<std::string, int> met;
        for (int proxy = 0; proxy < kProxies; ++proxy)
            for (const auto& host : preferred("e" + std::to_string(proxy), kHosts, kProxies)) ++met[host];
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(kHosts), met.size());
        for (const auto& [host, count] : met) CPPUNIT_ASSERT_MESSAGE(host, count >= 1 && count <= 20);
    }

    // One host more or less changes one; a fleet of another size has a part of it, or more besides.
    void changesOnlyByWhatComesOrGoes() {
        const auto before = preferred("e7", 160, 49);
        CPPUNIT_ASSERT(missing(before, preferred("e7", 161, 49)) <= 1);
        CPPUNIT_ASSERT(missing(before, preferred("e7", 159, 49, 1)) <= 1);
        const auto fewer = preferred("e7", 160, 60);
        CPPUNIT_ASSERT(fewer.size() < before.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, missing(before, fewer));
        CPPUNIT_ASSERT(preferred("e8", 160, 49) != before);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HostSubsetTest);
