#include "sidecar/trust_config.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "metadata/builds.hpp"

namespace lichenlanding::net {
namespace {

using Json = nlohmann::json;

// Reads fields of one object, names each in a complaint, and leaves none unread.
class Fields {
  public:
    Fields(const Json& object, std::string path) : object_(object), path_(std::move(path)) {
        if (!object.is_object()) wrong("", "an object is wanted");
    }

    [[noreturn]] void wrong(const std::string& name, const std::string& why) const {
        throw std::invalid_argument(path_ + name + ": " + why);
    }
    const Json* find(const char* name) {
        known_.push_back(name);
        const auto found = object_.find(name);
        return found == object_.end() ? nullptr : &*found;
    }
    std::string text(const char* name, bool needed) {
        const auto* found = find(name);
        if (!found && !needed) return {};
        if (!found || !found->is_string() || found->get_ref<const std::string&>().empty())
            wrong(name, "a text is wanted");
        return found->get<std::string>();
    }
    void count(const char* name, std::int64_t least, std::int64_t most, std::int64_t& into) {
        const auto* found = find(name);
        if (!found) return;
        if (!found->is_number_integer() || found->get<std::int64_t>() < least ||
            found->get<std::int64_t>() > most)
            wrong(name, "a whole number from " + std::to_string(least) + " to " + std::to_string(most) +
                            " is wanted");
        into = found->get<std::int64_t>();
    }
    std::vector<MirrorUrl> mirrors(const char* name, bool needed) {
        std::vector<MirrorUrl> all;
        const auto* found = find(name);
        if (!found && !needed) return all;
        if (!found || !found->is_array() || found->empty() || found->size() > 16)
            wrong(name, "a list of 1 to 16 URLs is wanted");
        for (std::size_t at = 0; at < found->size(); ++at) {
            const auto& one = (*found)[at];
            const auto place = std::string(name) + "." + std::to_string(at);
            MirrorUrl read;
            std::string url;
            if (one.is_string()) {
                url = one.get<std::string>();
            } else {
                Fields fields(one, path_ + place + ".");
                url = fields.text("url", true);
                if (const auto* draining = fields.find("draining")) {
                    if (!draining->is_boolean()) fields.wrong("draining", "true or false is wanted");
                    read.draining = draining->get<bool>();
                }
                fields.end();
            }
            try {
                read.url = readUrl(url);
            } catch (const std::invalid_argument& no) {
                wrong(place, no.what());
            }
            all.push_back(std::move(read));
        }
        return all;
    }
    void end() const {
        for (const auto& [name, value] : object_.items())
            if (std::find(known_.begin(), known_.end(), name) == known_.end()) wrong(name, "no such field");
    }

  private:
    const Json& object_;
    std::string path_;
    std::vector<std::string> known_;
};

TrustConfig read(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    if (!file || !(text << file.rdbuf())) throw std::invalid_argument(path + ": cannot be read");
    Json json;
    try {
        json = Json::parse(text.str(), nullptr, true, true);
    } catch (const Json::parse_error& no) {
        throw std::invalid_argument(path + ": no JSON at byte " + std::to_string(no.byte));
    }
    TrustConfig config;
    Fields fields(json, path + ": ");
    config.root = fields.text("root", true);
    config.folder = fields.text("folder", false);
    config.metadata = fields.mirrors("metadata", true);
    config.targets = fields.mirrors("targets", false);
    config.builds = fields.text("builds", true);
    try {
        metadata::Builds{config.builds};
    } catch (const std::invalid_argument& no) {
        fields.wrong("builds", no.what());
    }
    std::int64_t every = config.rhythm.every / 1'000'000;
    fields.count("refreshMs", 100, 86'400'000, every);
    config.rhythm.every = every * 1'000'000;
    config.rhythm.leastWait = std::min(config.rhythm.leastWait, config.rhythm.every);
    std::int64_t answer = config.patience.within / 1'000'000;
    fields.count("answerMs", 50, 3'600'000, answer);
    config.patience.within = answer * 1'000'000;
    std::int64_t megabytes = 4;
    fields.count("documentMegabytes", 1, 64, megabytes);
    config.sizes = metadata::Sizes::small(static_cast<std::size_t>(megabytes) * 1'000'000);
    if (const auto* thread = fields.find("thread")) {
        if (!thread->is_boolean()) fields.wrong("thread", "true or false is wanted");
        config.thread = thread->get<bool>();
    }
    if (const auto* serve = fields.find("serve")) {
        Fields inner(*serve, path + ": serve.");
        try {
            config.serve = readAddress(inner.text("listen", true));
        } catch (const std::invalid_argument& no) {
            inner.wrong("listen", no.what());
        }
        std::int64_t connections = 64, held = 32;
        inner.count("connections", 1, 4096, connections);
        inner.count("megabytes", 1, 4096, held);
        config.serveConnections = static_cast<std::size_t>(connections);
        config.serveBytes = static_cast<std::size_t>(held) << 20;
        inner.end();
    }
    if (const auto* director = fields.find("director")) {
        Fields inner(*director, path + ": director.");
        config.director = TrustConfig::Director{inner.text("root", true), inner.mirrors("metadata", true)};
        inner.end();
    }
    fields.end();
    return config;
}

}  // namespace

TrustConfig readTrustConfig(const std::string& path) { return read(path); }

std::optional<TrustConfig> trustConfigAgain(const std::string& path) {
    try {
        return read(path);
    } catch (const std::exception& failure) {
        log(Kind::metadata, std::string("the file in force stays: ") + failure.what());
        return {};
    }
}

}  // namespace lichenlanding::net
