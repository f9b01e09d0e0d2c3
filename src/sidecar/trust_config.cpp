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

// Reads the fields of one object. Errors name the field; rejectUnknown() reports fields that were not read.
class ObjectReader {
  public:
    ObjectReader(const Json& object, std::string path) : object_(object), path_(std::move(path)) {
        if (!object.is_object()) fail("", "expected an object");
    }

    [[noreturn]] void fail(const std::string& name, const std::string& reason) const {
        throw std::invalid_argument(path_ + name + ": " + reason);
    }

    const Json* find(const char* name) {
        readFields_.emplace_back(name);
        const auto found = object_.find(name);
        return found == object_.end() ? nullptr : &*found;
    }

    std::string text(const char* name, bool required) {
        const auto* found = find(name);
        if (!found && !required) return {};
        if (!found || !found->is_string() || found->get_ref<const std::string&>().empty())
            fail(name, "expected a non-empty string");
        return found->get<std::string>();
    }

    std::int64_t integer(const char* name, std::int64_t minimum, std::int64_t maximum,
                         std::int64_t defaultValue) {
        const auto* found = find(name);
        if (!found) return defaultValue;
        if (!found->is_number_integer() || found->get<std::int64_t>() < minimum ||
            found->get<std::int64_t>() > maximum)
            fail(name, "expected an integer from " + std::to_string(minimum) + " to " +
                           std::to_string(maximum) + " (inclusive)");
        return found->get<std::int64_t>();
    }

    bool boolean(const char* name, bool defaultValue) {
        const auto* found = find(name);
        if (!found) return defaultValue;
        if (!found->is_boolean()) fail(name, "expected true or false");
        return found->get<bool>();
    }

    std::vector<MirrorUrl> mirrors(const char* name, bool required) {
        std::vector<MirrorUrl> mirrors;
        const auto* found = find(name);
        if (!found && !required) return mirrors;
        if (!found || !found->is_array() || found->empty() || found->size() > kMaxMirrors)
            fail(name, "expected a list of 1 to 16 URLs");
        for (std::size_t index = 0; index < found->size(); ++index)
            mirrors.push_back(mirror((*found)[index], std::string(name) + "." + std::to_string(index)));
        return mirrors;
    }

    void rejectUnknown() const {
        for (const auto& [name, value] : object_.items())
            if (std::find(readFields_.begin(), readFields_.end(), name) == readFields_.end())
                fail(name, "unknown field");
    }

  private:
    // A mirror is written as a URL, or as an object with one.
    MirrorUrl mirror(const Json& json, const std::string& fieldName) const {
        MirrorUrl mirror;
        std::string url;
        if (json.is_string()) {
            url = json.get<std::string>();
        } else {
            ObjectReader fields(json, path_ + fieldName + ".");
            url = fields.text("url", true);
            mirror.draining = fields.boolean("draining", false);
            fields.rejectUnknown();
        }
        try {
            mirror.url = parseUrl(url);
        } catch (const std::invalid_argument& failure) {
            fail(fieldName, failure.what());
        }
        return mirror;
    }

    const Json& object_;
    std::string path_;
    std::vector<std::string> readFields_;
};

Json parseJson(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    if (!file || !(text << file.rdbuf())) throw std::invalid_argument(path + ": cannot be read");
    try {
        return Json::parse(text.str(), nullptr, true, true);
    } catch (const Json::parse_error& failure) {
        throw std::invalid_argument(path + ": invalid JSON at byte " + std::to_string(failure.byte));
    }
}

void readIntervals(ObjectReader& fields, TrustConfig& config) {
    auto& intervals = config.refreshIntervals;
    intervals.regular =
        fields.integer("refreshMs", 100, 86'400'000, intervals.regular / kMillisecond) * kMillisecond;
    intervals.minBackoff = std::min(intervals.minBackoff, intervals.regular);
    auto& timeout = config.timeouts.response;
    timeout = fields.integer("answerMs", 50, 3'600'000, timeout / kMillisecond) * kMillisecond;
    const auto megabytes = fields.integer("documentMegabytes", 1, 64, 4);
    config.sizes = metadata::Sizes::small(static_cast<std::size_t>(megabytes) * 1'000'000);
}

void readServe(const Json& json, const std::string& path, TrustConfig& config) {
    ObjectReader fields(json, path + ": serve.");
    try {
        config.serveAddress = parseAddress(fields.text("listen", true));
    } catch (const std::invalid_argument& failure) {
        fields.fail("listen", failure.what());
    }
    config.maxServeConnections = static_cast<std::size_t>(fields.integer("connections", 1, 4096, 64));
    config.serveCacheBytes = static_cast<std::size_t>(fields.integer("megabytes", 1, 4096, 32)) << 20;
    fields.rejectUnknown();
}

TrustConfig::Director readDirector(const Json& json, const std::string& path) {
    ObjectReader fields(json, path + ": director.");
    TrustConfig::Director director{fields.text("root", true), fields.mirrors("metadata", true)};
    fields.rejectUnknown();
    return director;
}

}  // namespace

TrustConfig readTrustConfig(const std::string& path) {
    const auto json = parseJson(path);
    TrustConfig config;
    ObjectReader fields(json, path + ": ");
    config.rootFile = fields.text("root", true);
    config.directory = fields.text("folder", false);
    config.metadata = fields.mirrors("metadata", true);
    config.targets = fields.mirrors("targets", false);
    config.buildPathPattern = fields.text("builds", true);
    try {
        metadata::AttestedBuilds{config.buildPathPattern};
    } catch (const std::invalid_argument& failure) {
        fields.fail("builds", failure.what());
    }
    readIntervals(fields, config);
    config.verifyOnWorker = fields.boolean("thread", config.verifyOnWorker);
    if (const auto* serve = fields.find("serve")) readServe(*serve, path, config);
    if (const auto* director = fields.find("director")) config.director = readDirector(*director, path);
    fields.rejectUnknown();
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
