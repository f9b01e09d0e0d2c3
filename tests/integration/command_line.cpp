// The program's command line: output, exit status, help texts, and the subcommand names of version 0.3.
#include "support/cluster_fixture.hpp"

using namespace cluster;

class CommandLineTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CommandLineTest);
    CPPUNIT_TEST(outputStatusAndHelpAreApproved);
    CPPUNIT_TEST(earlierSubcommandNamesStillWork);
    CPPUNIT_TEST_SUITE_END();

    // Runs the program and returns its exit status and its output. The output is left out for exit status 2
    // (wrong command line).
    static std::string transcriptOf(Cluster& cluster, std::vector<std::string> words) {
        for (auto& word : words)
            if (word.find(".json") !=
                    std::basic_string<char, std::char_traits<char>, std::allocator<char>>::npos ||
                word == "none")
                word = cluster.folder + "/" + word;
        Program tool;
        cluster.spawn(tool, words, "X=");
        waitpid(tool.id, &tool.status, 0);
        tool.id = -1;
        cluster.io.restart();
        for (int turn = 0; turn < 200 && cluster.io.poll() > 0; ++turn) {
        }
        std::string output;
        if (WEXITSTATUS(tool.status) != 2)
            for (const auto& out : tool.lines) {
                auto text = out.value("text", out.dump());
                for (auto at = text.find(cluster.folder);
                     at != std::basic_string<char, std::char_traits<char>, std::allocator<char>>::npos;
                     at = text.find(cluster.folder))
                    text.replace(at, cluster.folder.size(), "FOLDER");
                output += "  " + text + "\n";
            }
        return output + "  status " + std::to_string(WEXITSTATUS(tool.status)) + "\n";
    }
    static void writeConfigurations(const Cluster& cluster) {
        std::ofstream(cluster.folder + "/good.json") << Cluster::configuration(3, "/a/");
        std::ofstream(cluster.folder + "/bad.json")
            << R"({"config_version":"3","resources":[{"resource_type":"table"}]})";
    }

  public:
    void outputStatusAndHelpAreApproved() {
        Cluster cluster;
        writeConfigurations(cluster);
        std::string output;
        for (const auto& words : std::vector<std::vector<std::string>>{{"config", "check", "good.json"},
                                                                       {"config", "check", "bad.json"},
                                                                       {"config", "check", "none.json"},
                                                                       {"explain", "good.json", "h", "/a/1"},
                                                                       {"explain", "good.json", "h", "/none"},
                                                                       {"store", "show", "none"},
                                                                       {"store", "burn", "none"},
                                                                       {"scale-test"},
                                                                       {"scale-test", "hollow"},
                                                                       {"no-such-subcommand"},
                                                                       {},
                                                                       {"proxy"},
                                                                       {"control-plane"},
                                                                       {"--help"},
                                                                       {"control-plane", "--help"},
                                                                       {"config", "check", "--help"},
                                                                       {"store", "--help"},
                                                                       {"scale-test", "--help"},
                                                                       {"status", "--help"}}) {
            std::string line;
            for (const auto& word : words) line += " " + word;
            output += "$" + line + "\n" + transcriptOf(cluster, words);
        }
        approve("command-line", output);
    }

    // The subcommand names of version 0.3 behave like the current ones.
    void earlierSubcommandNamesStillWork() {
        Cluster cluster;
        writeConfigurations(cluster);
        using Words = std::vector<std::string>;
        for (const auto& [earlier, current] : std::vector<std::pair<Words, Words>>{
                 {{"foyer"}, {"proxy"}},
                 {{"foyer", "--help"}, {"proxy", "--help"}},
                 {{"prompter"}, {"control-plane"}},
                 {{"prompter", "--metrics"}, {"control-plane", "--metrics"}},
                 {{"prompter", "--help"}, {"control-plane", "--help"}},
                 {{"playbill"}, {"config"}},
                 {{"playbill", "check", "good.json"}, {"config", "check", "good.json"}},
                 {{"playbill", "check", "bad.json"}, {"config", "check", "bad.json"}},
                 {{"promptbook", "show", "none"}, {"store", "show", "none"}},
                 {{"promptbook", "found", "none", "--address", "127.0.0.1:1"},
                  {"store", "found", "none", "--address", "127.0.0.1:1"}},
                 {{"promptbook", "found", "none"}, {"store", "found", "none"}},
                 {{"rehearse"}, {"scale-test"}},
                 {{"rehearse", "scale", "none.json"}, {"scale-test", "none.json"}},
                 {{"rehearse", "scale", "--help"}, {"scale-test", "--help"}},
                 {{"rehearse", "hollow", "[]"}, {"scale-test", "hollow", "[]"}},
                 {{"rehearse", "hollow", "--help"}, {"scale-test", "hollow", "--help"}}}) {
            std::string line;
            for (const auto& word : earlier) line += " " + word;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, transcriptOf(cluster, current),
                                         transcriptOf(cluster, earlier));
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);
