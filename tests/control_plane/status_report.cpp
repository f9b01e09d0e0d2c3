// Field names of the status report and metric names, which scripts and scrapers depend on.
#include "control_plane/status_report.hpp"

#include "support/transcript.hpp"

using namespace lichenlanding::control_plane;

class StatusReportTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StatusReportTest);
    CPPUNIT_TEST(statusHasEachField);
    CPPUNIT_TEST(metricsCountWhatStatusLists);
    CPPUNIT_TEST_SUITE_END();

    static StatusReport report() {
        StatusReport report;
        report.node = "c1";
        report.blankDisk = true;
        report.members = 3;
        report.connectedPeers = 2;
        report.quorum = {{"contact", true}};
        report.configuration = "0000000b";
        report.leases = {{"list", {"10.1.0.1:7720", 4, true}}, {"rollouts", {"10.1.0.2:7720", 1, false}}};
        report.proxies = {{"p1", {"10.2.0.1:7720", 77, 1, "0000000b"}},
                          {"p2", {"10.2.0.2:7720", 78, 0, "0000000a"}}};
        report.pods = {{"s", {{"v1", {2, 1}}, {"v2", {4, 0}}}}};
        report.rollouts = Json::array({{{"service", "s"}}});
        report.votes = {{{"t", "vote"}}};
        report.adminRequests = 9;
        report.adminConnections = 5;
        report.adminBytes = 4096;
        report.peakMemoryBytes = 8192;
        report.listRequests = 20;
        report.listRateLimited = 6;
        return report;
    }

  public:
    void statusHasEachField() {
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                R"({"blank":true,"calls":9,"configuration":"0000000b","duties":{"list":{"holder":"10.1.0.1:7720",)"
                R"("mine":true,"term":4},"rollouts":{"holder":"10.1.0.2:7720","mine":false,"term":1}},)"
                R"("duty":["list"],"foyers":{"p1":{"at":"10.2.0.1:7720","configuration":"0000000b","life":77,)"
                R"("missed_by":1},"p2":{"at":"10.2.0.2:7720","configuration":"0000000a","life":78,)"
                R"("missed_by":0}},"list_calls":20,"list_refused":6,"members":3,"node":"c1",)"
                R"("pods":{"s":{"v1":[2,1],"v2":[4,0]}},"reached":2,"register":{"contact":true},)"
                R"("rollouts":[{"service":"s"}],"votes":[{"t":"vote"}]})"),
            encodeStatus(report()).dump());
    }

    void metricsCountWhatStatusLists() {
        const std::vector<std::pair<std::string, std::string>> expected{{"members_reached gauge", "2"},
                                                                        {"disk_blank gauge", "1"},
                                                                        {"foyers gauge", "2"},
                                                                        {"foyers_behind gauge", "1"},
                                                                        {"pods gauge", "7"},
                                                                        {"rollouts gauge", "1"},
                                                                        {"operator_callers gauge", "5"},
                                                                        {"operator_calls_total counter", "9"},
                                                                        {"operator_bytes gauge", "4096"},
                                                                        {"memory_peak_bytes gauge", "8192"},
                                                                        {"list_calls_total counter", "20"},
                                                                        {"list_refused_total counter", "6"}};
        std::string page;
        for (const auto& [metric, value] : expected)
            page += "# TYPE lichenlanding_" + metric + "\nlichenlanding_" +
                    metric.substr(0, metric.find(' ')) + " " + value + "\n";
        CPPUNIT_ASSERT_EQUAL(page, encodeMetrics(report()));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StatusReportTest);
