// lichenlanding metadata init | refresh | download: the client's workflow from the command line, with the
// arguments of the published TUF client conformance protocol.
#include <algorithm>
#include <cstdio>

#include "command/command.hpp"
#include "sidecar/metadata_refresh.hpp"

namespace lichenlanding::command {
namespace {

using namespace metadata;

struct ClientOptions {
    std::string directory, target, targetDirectory, now, root;
    std::vector<std::string> mirrors, targetBases;
    double within = 30;
    bool quiet = false;
    std::size_t maxBytes = 1U << 30;
};

std::vector<sidecar::Url> urlsOf(const std::vector<std::string>& texts) {
    std::vector<sidecar::Url> urls;
    for (const auto& text : texts) urls.push_back(sidecar::parseUrl(text));
    return urls;
}

void require(const std::string& value, const char* option) {
    if (value.empty()) throw CLI::RequiredError(option);
}

class Client {
  public:
    explicit Client(const ClientOptions& options)
        : options_(options),
          now_(options.now.empty() ? wallClock() : parseInstant(options.now)),
          bases_(urlsOf(options.mirrors)),
          targetBases_(urlsOf(options.targetBases)),
          mirrors_(options.mirrors, 1),
          targetMirrors_(options.targetBases, 1) {
        timeouts_.response = static_cast<Nanos>(options.within * 1e9);
    }

    int init() {
        const auto shipped = readFile(options_.root);
        const auto set = TrustedSet::start(shipped, now_);
        if (!set) return refuse(set.refusal());
        auto store = sidecar::TrustStore::open(options_.directory);
        if (!store) return refuse(store.refusal());
        if (const auto kept = (*store)->read("root.json"))
            if (const auto before = TrustedSet::start(*kept, now_);
                before && before->root().version > set->root().version)
                return refuse({Reason::rollback, "root", set->root().version,
                               "version " + std::to_string(before->root().version) + " is trusted"});
        StoreTransaction step;
        step.files.emplace_back("root.json", shipped);
        step.files.emplace_back("root_history/" + std::to_string(set->root().version) + ".root.json",
                                shipped);
        if (const auto refusal = (*store)->commit(step)) return refuse(*refusal);
        print("trusts root version " + std::to_string(set->root().version));
        return success;
    }

    int refresh() { return update({}); }

    int download() {
        require(options_.target, "--target-name");
        require(options_.targetDirectory, "--target-dir");
        if (targetBases_.empty()) throw CLI::RequiredError("--target-base-url");
        return update(options_.target);
    }

  private:
    int refuse(const Refusal& refusal) {
        std::fprintf(stderr, "lichenlanding: %s\n", refusal.text().c_str());
        return refused;
    }
    void print(const std::string& text) {
        if (!options_.quiet) std::printf("%s\n", text.c_str());
    }

    int update(const std::string& target) {
        if (bases_.empty()) throw CLI::RequiredError("--metadata-url");
        auto store = sidecar::TrustStore::open(options_.directory);
        if (!store) return refuse(store.refusal());
        std::string choice;
        auto set = (*store)->start({}, now_, choice);
        if (!set) return refuse(set.refusal());
        Update update(std::move(*set), **store);
        if (!target.empty()) update.search(target);
        sidecar::FetchCounts counts;
        sidecar::MetadataRefresh refresh(loop_, mirrors_, bases_, **store, std::move(update), timeouts_,
                                         counts, nullptr,
                                         [this](sidecar::MetadataRefresh&) { loop_.stop(); });
        refresh.start();
        loop_.run();
        if (const auto refusal = refresh.refusal()) return refuse(*refusal);
        const auto& trusted = refresh.update().set();
        print("root " + std::to_string(trusted.root().version) + ", timestamp " +
              std::to_string(trusted.timestamp()->version) + ", snapshot " +
              std::to_string(trusted.snapshot()->version) + ", targets " +
              std::to_string(trusted.trusted()->version) + ", until " + formatTime(trusted.expires()));
        if (target.empty()) return success;
        const auto& found = refresh.update().found().at(target);
        if (!found) return refuse({Reason::notFound, escaped(target, 100), 0, "no trusted role lists it"});
        return take(*found, refresh.update().consistent(), counts);
    }

    int take(const FoundTarget& found, bool consistent, sidecar::FetchCounts& counts) {
        // Its name as one file's name; what is too long for one goes by its hash.
        auto name = percentEncoded(found.path);
        if (name.size() > 200 || name == "." || name == "..") name = digest("sha256", found.path);
        const auto path = options_.targetDirectory + "/" + name;
        if (fileExists(path) &&
            !verifyBytes(readFile(path), found.target.length, found.target.hashes, found.path)) {
            print(path + " is there already");
            return success;
        }
        sidecar::TargetDownload download(loop_, targetMirrors_, targetBases_, timeouts_, counts);
        std::optional<Result<std::string>> got;
        download.start(found, consistent, options_.maxBytes, [&](Result<std::string> result) {
            got = std::move(result);
            loop_.stop();
        });
        if (!got) loop_.run();
        if (!*got) return refuse(got->refusal());
        makeDirectory(options_.targetDirectory);
        writeFile(path, **got);
        print(path);
        return success;
    }

    const ClientOptions& options_;
    UnixSeconds now_;
    std::vector<sidecar::Url> bases_, targetBases_;
    sidecar::EventLoop loop_;
    Mirrors mirrors_, targetMirrors_;
    FetchTimeouts timeouts_;
};

}  // namespace

void addMetadataClient(CLI::App& metadata, Chosen& chosen) {
    auto options = std::make_shared<ClientOptions>();
    metadata.add_option("--metadata-dir", options->directory, "folder that keeps what is trusted");
    metadata.add_option("--metadata-url", options->mirrors, "where metadata lie; several are mirrors")
        ->take_all();
    metadata.add_option("--target-name", options->target, "the target's path");
    metadata.add_option("--target-base-url", options->targetBases, "where targets lie; several are mirrors")
        ->take_all();
    metadata.add_option("--target-dir", options->targetDirectory, "folder for downloaded targets");
    metadata.add_option("--now", options->now, "the time of this update, RFC 3339, in place of the clock's");
    metadata.add_option("--within", options->within, "seconds for one answer of a mirror")
        ->check(CLI::Range(0.05, 3600.0));
    metadata.add_option("--most-bytes", options->maxBytes, "of a target, whatever is listed");
    metadata.add_flag("--quiet", options->quiet, "say nothing but refusals");
    const auto subcommand = [&](const char* name, const char* what, int (Client::*call)()) {
        auto* command = metadata.add_subcommand(name, what);
        command->fallthrough();
        command->callback([options, call, &chosen] {
            chosen = [options, call] {
                require(options->directory, "--metadata-dir");
                return (Client(*options).*call)();
            };
        });
        return command;
    };
    auto* init = subcommand("init", "trust a root that came by a safe way", &Client::init);
    init->add_option("ROOT", options->root, "the root's file")->required();
    init->footer("Example:\n  lichenlanding metadata --metadata-dir trust init root.json");
    subcommand("refresh", "update what is trusted", &Client::refresh)
        ->footer(
            "Example:\n  lichenlanding metadata --metadata-dir trust --metadata-url "
            "http://127.0.0.1:8001/metadata refresh");
    subcommand("download", "update, then fetch one target and verify it", &Client::download)
        ->footer(
            "Example:\n  lichenlanding metadata --metadata-dir trust --metadata-url "
            "http://127.0.0.1:8001/metadata \\\n    --target-name releases/42 --target-base-url "
            "http://127.0.0.1:8001/targets --target-dir files download");
}

}  // namespace lichenlanding::command
