#include "sidecar/trust_config.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "metadata/attested_builds.hpp"

namespace lichenlanding::sidecar {
namespace {

using Json = nlohmann::json;

constexpr Nanos kMillisecond = 1'000'000;
constexpr std::size_t kMaxMirrors = 16;

// Reads the fields of one object. Errors name the field; end() finds fields that were not read.
class ObjectReader {
  public:
    ObjectReader(const Json& object, std::string path) : object_(object), path_(std::move(path)) {
        if (!object.is_object()) fail("", "an object is wanted");
    }

    [[noreturn]] void fail(const std::string& name, const std::string& why) const {
        throw std::invalid_argument(path_ + name + ": " + why);
    }

    const Json* find(const char* name) {
        known_.emplace_back(name);
        const auto found = object_.find(name);
        return found == object_.end() ? nullptr : &*found;
    }

    std::string text(const char* name, bool required) {
        const auto* found = find(name);
        if (!found && !required) return {};
        if (!found || !found->is_string() || found->get_ref<const std::string&>().empty())
            fail(name, "a text is wanted");
        return found->get<std::string>();
    }

    std::int64_t integer(const char* name, std::int64_t least, std::int64_t most, std::int64_t otherwise) {
        const auto* found = find(name);
        if (!found) return otherwise;
        if (!found->is_number_integer() || found->get<std::int64_t>() < least ||
            found->get<std::int64_t>() > most)
            fail(name, "a whole number from " + std::to_string(least) + " to " + std::to_string(most) +
                           " is wanted");
        return found->get<std::int64_t>();
    }

    bool boolean(const char* name, bool otherwise) {
        const auto* found = find(name);
        if (!found) return otherwise;
        if (!found->is_boolean()) fail(name, "true or false is wanted");
        return found->get<bool>();
    }

    std::vector<MirrorUrl> mirrors(const char* name, bool required) {
        std::vector<MirrorUrl> mirrors;
        const auto* found = find(name);
        if (!found && !required) return mirrors;
        if (!found || !found->is_array() || found->empty() || found->size() > kMaxMirrors)
            fail(name, "a list of 1 to 16 URLs is wanted");
        for (std::size_t at = 0; at < found->size(); ++at)
            mirrors.push_back(mirror((*found)[at], std::string(name) + "." + std::to_string(at)));
        return mirrors;
    }

    void end() const {
        for (const auto& [name, value] : object_.items())
            if (std::find(known_.begin(), known_.end(), name) == known_.end()) fail(name, "no such field");
    }

  private:
    // A URL, or an object with one.
    MirrorUrl mirror(const Json& json, const std::string& place) const {
        MirrorUrl mirror;
        std::string url;
        if (json.is_string()) {
            url = json.get<std::string>();
        } else {
            ObjectReader fields(json, path_ + place + ".");
            url = fields.text("url", true);
            mirror.draining = fields.boolean("draining", false);
            fields.end();
        }
        try {
            mirror.url = parseUrl(url);
        } catch (const std::invalid_argument& failure) {
            fail(place, failure.what());
        }
        return mirror;
    }

    const Json& object_;
    std::string path_;
    std::vector<std::string> known_;
};

Json parseJson(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    if (!file || !(text << file.rdbuf())) throw std::invalid_argument(path + ": cannot be read");
    try {
        return Json::parse(text.str(), nullptr, true, true);
    } catch (const Json::parse_error& failure) {
        throw std::invalid_argument(path + ": no JSON at byte " + std::to_string(failure.byte));
    }
}

void readIntervals(ObjectReader& fields, TrustConfig& config) {
    auto& rhythm = config.rhythm;
    rhythm.regular =
        fields.integer("refreshMs", 100, 86'400'000, rhythm.regular / kMillisecond) * kMillisecond;
    rhythm.minBackoff = std::min(rhythm.minBackoff, rhythm.regular);
    auto& within = config.timeouts.response;
    within = fields.integer("answerMs", 50, 3'600'000, within / kMillisecond) * kMillisecond;
    const auto megabytes = fields.integer("documentMegabytes", 1, 64, 4);
    config.sizes = metadata::SizeLimits::small(static_cast<std::size_t>(megabytes) * 1'000'000);
}

void readServe(const Json& json, const std::string& path, TrustConfig& config) {
    ObjectReader fields(json, path + ": serve.");
    try {
        config.serve = parseAddress(fields.text("listen", true));
    } catch (const std::invalid_argument& failure) {
        fields.fail("listen", failure.what());
    }
    config.serveConnections = static_cast<std::size_t>(fields.integer("connections", 1, 4096, 64));
    config.serveBytes = static_cast<std::size_t>(fields.integer("megabytes", 1, 4096, 32)) << 20;
    fields.end();
}

TrustConfig::Director readDirector(const Json& json, const std::string& path) {
    ObjectReader fields(json, path + ": director.");
    TrustConfig::Director director{fields.text("root", true), fields.mirrors("metadata", true)};
    fields.end();
    return director;
}

}  // namespace

TrustConfig readTrustConfig(const std::string& path) {
    const auto json = parseJson(path);
    TrustConfig config;
    ObjectReader fields(json, path + ": ");
    config.root = fields.text("root", true);
    config.directory = fields.text("folder", false);
    config.metadata = fields.mirrors("metadata", true);
    config.targets = fields.mirrors("targets", false);
    config.builds = fields.text("builds", true);
    try {
        metadata::AttestedBuilds{config.builds};
    } catch (const std::invalid_argument& failure) {
        fields.fail("builds", failure.what());
    }
    readIntervals(fields, config);
    config.thread = fields.boolean("thread", config.thread);
    if (const auto* serve = fields.find("serve")) readServe(*serve, path, config);
    if (const auto* director = fields.find("director")) config.director = readDirector(*director, path);
    fields.end();
    return config;
}

std::optional<TrustConfig> reloadTrustConfig(const std::string& path) {
    try {
        return readTrustConfig(path);
    } catch (const std::exception& failure) {
        log(LogEvent::metadata, std::string("reload failed, configuration unchanged: ") + failure.what());
        return {};
    }
}

}  // namespace lichenlanding::sidecar
