// lichenlanding metadata init | refresh | download: the client's workflow from the command line, with the
// arguments of the published TUF client conformance protocol.
#include <algorithm>
#include <cstdio>

#include "command/command.hpp"
#include "sidecar/metadata_refresh.hpp"

namespace lichenlanding::command {
namespace {

using namespace metadata;

struct Asked {
    std::string folder, target, targetFolder, now, root;
    std::vector<std::string> mirrors, targetBases;
    double within = 30;
    bool quiet = false;
    std::size_t maxBytes = 1u << 30;
};

std::vector<sidecar::Url> urlsOf(const std::vector<std::string>& texts) {
    std::vector<sidecar::Url> urls;
    for (const auto& text : texts) urls.push_back(sidecar::parseUrl(text));
    return urls;
}

void need(const std::string& value, const char* option) {
    if (value.empty()) throw CLI::RequiredError(option);
}

class Client {
  public:
    explicit Client(const Asked& asked)
        : asked_(asked),
          now_(asked.now.empty() ? wallClock() : readInstant(asked.now)),
          bases_(urlsOf(asked.mirrors)),
          targetBases_(urlsOf(asked.targetBases)),
          mirrors_(asked.mirrors, 1),
          targetMirrors_(asked.targetBases, 1) {
        patience_.response = static_cast<Nanos>(asked.within * 1e9);
    }

    int init() {
        const auto shipped = readFile(asked_.root);
        const auto set = TrustedSet::start(shipped, now_);
        if (!set) return refuse(set.refusal());
        auto store = sidecar::TrustStore::open(asked_.folder);
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
        say("trusts root version " + std::to_string(set->root().version));
        return success;
    }

    int refresh() { return update({}); }

    int download() {
        need(asked_.target, "--target-name");
        need(asked_.targetFolder, "--target-dir");
        if (targetBases_.empty()) throw CLI::RequiredError("--target-base-url");
        return update(asked_.target);
    }

  private:
    int refuse(const Refusal& refusal) {
        std::fprintf(stderr, "lichenlanding: %s\n", refusal.text().c_str());
        return refused;
    }
    void say(const std::string& text) {
        if (!asked_.quiet) std::printf("%s\n", text.c_str());
    }

    int update(const std::string& target) {
        if (bases_.empty()) throw CLI::RequiredError("--metadata-url");
        auto store = sidecar::TrustStore::open(asked_.folder);
        if (!store) return refuse(store.refusal());
        std::string said;
        auto set = (*store)->start({}, now_, said);
        if (!set) return refuse(set.refusal());
        Update update(std::move(*set), **store);
        if (!target.empty()) update.search(target);
        sidecar::FetchCounts counts;
        sidecar::MetadataRefresh refresh(loop_, mirrors_, bases_, **store, std::move(update), patience_,
                                         counts, nullptr,
                                         [this](sidecar::MetadataRefresh&) { loop_.stop(); });
        refresh.start();
        loop_.run();
        if (const auto refusal = refresh.refusal()) return refuse(*refusal);
        const auto& trusted = refresh.update().set();
        say("root " + std::to_string(trusted.root().version) + ", timestamp " +
            std::to_string(trusted.timestamp()->version) + ", snapshot " +
            std::to_string(trusted.snapshot()->version) + ", targets " +
            std::to_string(trusted.trusted()->version) + ", until " + formatTime(trusted.expires()));
        if (target.empty()) return success;
        const auto& found = refresh.update().found().at(target);
        if (!found) return refuse({Reason::notFound, escaped(target, 100), 0, "no trusted role lists it"});
        return take(*found, refresh.update().consistent(), counts);
    }

    int take(const Found& found, bool consistent, sidecar::FetchCounts& counts) {
        // Its name as one file's name; what is too long for one goes by its hash.
        auto name = percentEncoded(found.path);
        if (name.size() > 200 || name == "." || name == "..") name = digest("sha256", found.path);
        const auto path = asked_.targetFolder + "/" + name;
        if (fileThere(path) &&
            !verifyBytes(readFile(path), found.target.length, found.target.hashes, found.path)) {
            say(path + " is there already");
            return success;
        }
        sidecar::TargetDownload download(loop_, targetMirrors_, targetBases_, patience_, counts);
        std::optional<Result<std::string>> got;
        download.start(found, consistent, asked_.maxBytes, [&](Result<std::string> result) {
            got = std::move(result);
            loop_.stop();
        });
        if (!got) loop_.run();
        if (!*got) return refuse(got->refusal());
        makeFolder(asked_.targetFolder);
        writeFile(path, **got);
        say(path);
        return success;
    }

    const Asked& asked_;
    UnixSeconds now_;
    std::vector<sidecar::Url> bases_, targetBases_;
    sidecar::EventLoop loop_;
    Mirrors mirrors_, targetMirrors_;
    FetchTimeouts patience_;
};

}  // namespace

void addMetadataClient(CLI::App& metadata, Chosen& chosen) {
    auto asked = std::make_shared<Asked>();
    metadata.add_option("--metadata-dir", asked->folder, "folder that keeps what is trusted");
    metadata.add_option("--metadata-url", asked->mirrors, "where metadata lie; several are mirrors")
        ->take_all();
    metadata.add_option("--target-name", asked->target, "the target's path");
    metadata.add_option("--target-base-url", asked->targetBases, "where targets lie; several are mirrors")
        ->take_all();
    metadata.add_option("--target-dir", asked->targetFolder, "folder for downloaded targets");
    metadata.add_option("--now", asked->now, "the time of this update, RFC 3339, in place of the clock's");
    metadata.add_option("--within", asked->within, "seconds for one answer of a mirror")
        ->check(CLI::Range(0.05, 3600.0));
    metadata.add_option("--most-bytes", asked->maxBytes, "of a target, whatever is listed");
    metadata.add_flag("--quiet", asked->quiet, "say nothing but refusals");
    const auto subcommand = [&](const char* name, const char* what, int (Client::*call)()) {
        auto* command = metadata.add_subcommand(name, what);
        command->fallthrough();
        command->callback([asked, call, &chosen] {
            chosen = [asked, call] {
                need(asked->folder, "--metadata-dir");
                return (Client(*asked).*call)();
            };
        });
        return command;
    };
    auto* init = subcommand("init", "trust a root that came by a safe way", &Client::init);
    init->add_option("ROOT", asked->root, "the root's file")->required();
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
