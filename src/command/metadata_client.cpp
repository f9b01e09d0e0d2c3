// lichenlanding metadata init | refresh | download: the TUF client workflow, with the arguments of the
// published TUF client conformance protocol.
#include <algorithm>
#include <cstdio>

#include "command/command.hpp"
#include "sidecar/metadata_refresh.hpp"

namespace lichenlanding::command {
namespace {

using namespace metadata;

struct ClientOptions {
    std::string trustDirectory, target, targetDirectory, now, root;
    std::vector<std::string> metadataUrls, targetUrls;
    double timeoutSeconds = 30;
    bool quiet = false;
    std::size_t maxBytes = 1U << 30;
};

std::vector<sidecar::Url> parseUrls(const std::vector<std::string>& texts) {
    std::vector<sidecar::Url> urls;
    for (const auto& text : texts) urls.push_back(sidecar::parseUrl(text));
    return urls;
}

void requireOption(const std::string& value, const char* option) {
    if (value.empty()) throw CLI::RequiredError(option);
}

class Client {
  public:
    explicit Client(const ClientOptions& options)
        : options_(options),
          now_(options.now.empty() ? wallClock() : parseRfc3339(options.now)),
          metadataUrls_(parseUrls(options.metadataUrls)),
          targetUrls_(parseUrls(options.targetUrls)),
          mirrors_(options.metadataUrls, 1),
          targetMirrors_(options.targetUrls, 1) {
        timeouts_.response = static_cast<Nanos>(options.timeoutSeconds * 1e9);
    }

    int init() {
        const auto initialRoot = readFile(options_.root);
        const auto set = TrustedSet::start(initialRoot, now_);
        if (!set) return reportRefusal(set.refusal());
        auto store = sidecar::TrustStore::open(options_.trustDirectory);
        if (!store) return reportRefusal(store.refusal());
        if (const auto storedRoot = (*store)->read("root.json"))
            if (const auto storedSet = TrustedSet::start(*storedRoot, now_);
                storedSet && storedSet->root().version > set->root().version)
                return reportRefusal(
                    {Reason::rollback, "root", set->root().version,
                     "version " + std::to_string(storedSet->root().version) + " is trusted"});
        StoreTransaction transaction;
        transaction.files.emplace_back("root.json", initialRoot);
        transaction.files.emplace_back("root_history/" + std::to_string(set->root().version) + ".root.json",
                                       initialRoot);
        if (const auto refusal = (*store)->commit(transaction)) return reportRefusal(*refusal);
        printLine("trusted root version " + std::to_string(set->root().version));
        return success;
    }

    int refresh() { return update({}); }

    int download() {
        requireOption(options_.target, "--target-name");
        requireOption(options_.targetDirectory, "--target-dir");
        if (targetUrls_.empty()) throw CLI::RequiredError("--target-base-url");
        return update(options_.target);
    }

  private:
    int reportRefusal(const Refusal& refusal) {
        std::fprintf(stderr, "lichenlanding: %s\n", refusal.text().c_str());
        return refused;
    }
    void printLine(const std::string& text) {
        if (!options_.quiet) std::printf("%s\n", text.c_str());
    }

    int update(const std::string& target) {
        if (metadataUrls_.empty()) throw CLI::RequiredError("--metadata-url");
        auto store = sidecar::TrustStore::open(options_.trustDirectory);
        if (!store) return reportRefusal(store.refusal());
        std::string choice;
        auto set = (*store)->start({}, now_, choice);
        if (!set) return reportRefusal(set.refusal());
        Update update(std::move(*set), **store);
        if (!target.empty()) update.search(target);
        sidecar::FetchCounts counts;
        sidecar::MetadataRefresh refresh(loop_, mirrors_, metadataUrls_, **store, std::move(update),
                                         timeouts_, counts, nullptr,
                                         [this](sidecar::MetadataRefresh&) { loop_.stop(); });
        refresh.start();
        loop_.run();
        if (const auto refusal = refresh.refusal()) return reportRefusal(*refusal);
        const auto& trusted = refresh.update().set();
        printLine("root " + std::to_string(trusted.root().version) + ", timestamp " +
                  std::to_string(trusted.timestamp()->version) + ", snapshot " +
                  std::to_string(trusted.snapshot()->version) + ", targets " +
                  std::to_string(trusted.trusted()->version) + ", until " + formatTime(trusted.expires()));
        if (target.empty()) return success;
        const auto& foundTarget = refresh.update().found().at(target);
        if (!foundTarget)
            return reportRefusal({Reason::notFound, escaped(target, 100), 0, "no trusted role lists it"});
        return fetchTarget(*foundTarget, refresh.update().consistent(), counts);
    }

    int fetchTarget(const FoundTarget& foundTarget, bool consistent, sidecar::FetchCounts& counts) {
        // The target's path is percent-encoded into one file name; one too long for that is named by its
        // hash.
        auto name = percentEncoded(foundTarget.path);
        if (name.size() > 200 || name == "." || name == "..") name = digest("sha256", foundTarget.path);
        const auto path = options_.targetDirectory + "/" + name;
        if (fileExists(path) && !verifyBytes(readFile(path), foundTarget.target.length,
                                             foundTarget.target.hashes, foundTarget.path)) {
            printLine(path + " already exists and is verified");
            return success;
        }
        sidecar::TargetDownload download(loop_, targetMirrors_, targetUrls_, timeouts_, counts);
        std::optional<Result<std::string>> downloaded;
        download.start(foundTarget, consistent, options_.maxBytes, [&](Result<std::string> result) {
            downloaded = std::move(result);
            loop_.stop();
        });
        if (!downloaded) loop_.run();
        if (!*downloaded) return reportRefusal(downloaded->refusal());
        makeDirectory(options_.targetDirectory);
        writeFile(path, **downloaded);
        printLine(path);
        return success;
    }

    const ClientOptions& options_;
    UnixSeconds now_;
    std::vector<sidecar::Url> metadataUrls_, targetUrls_;
    sidecar::EventLoop loop_;
    Mirrors mirrors_, targetMirrors_;
    FetchTimeouts timeouts_;
};

}  // namespace

void addMetadataClient(CLI::App& metadata, SelectedCommand& selected) {
    auto options = std::make_shared<ClientOptions>();
    metadata.add_option("--metadata-dir", options->trustDirectory, "directory of the trusted metadata");
    metadata
        .add_option("--metadata-url", options->metadataUrls, "base URL of the metadata; repeat for mirrors")
        ->take_all();
    metadata.add_option("--target-name", options->target, "the target's path");
    metadata
        .add_option("--target-base-url", options->targetUrls, "base URL of the targets; repeat for mirrors")
        ->take_all();
    metadata.add_option("--target-dir", options->targetDirectory, "directory for downloaded targets");
    metadata.add_option("--now", options->now, "use this time (RFC 3339) instead of the system clock");
    metadata.add_option("--within", options->timeoutSeconds, "response timeout of a mirror in seconds")
        ->check(CLI::Range(0.05, 3600.0));
    metadata.add_option("--most-bytes", options->maxBytes,
                        "maximum size of a target, regardless of its listed length");
    metadata.add_flag("--quiet", options->quiet, "print nothing but refusals");
    const auto subcommand = [&](const char* name, const char* description, int (Client::*method)()) {
        auto* command = metadata.add_subcommand(name, description);
        command->fallthrough();
        command->callback([options, method, &selected] {
            selected = [options, method] {
                requireOption(options->trustDirectory, "--metadata-dir");
                return (Client(*options).*method)();
            };
        });
        return command;
    };
    auto* init = subcommand("init", "trust a root that was obtained through a secure channel", &Client::init);
    init->add_option("ROOT", options->root, "the root metadata file")->required();
    init->footer("Example:\n  lichenlanding metadata --metadata-dir trust init root.json");
    subcommand("refresh", "update the trusted metadata", &Client::refresh)
        ->footer(
            "Example:\n  lichenlanding metadata --metadata-dir trust --metadata-url "
            "http://127.0.0.1:8001/metadata refresh");
    subcommand("download", "update, then download and verify one target", &Client::download)
        ->footer(
            "Example:\n  lichenlanding metadata --metadata-dir trust --metadata-url "
            "http://127.0.0.1:8001/metadata \\\n    --target-name releases/42 --target-base-url "
            "http://127.0.0.1:8001/targets --target-dir files download");
}

}  // namespace lichenlanding::command
