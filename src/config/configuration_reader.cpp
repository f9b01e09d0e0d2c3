#include "config/configuration_reader.hpp"

#include <utility>

namespace lichenlanding::config {
namespace {

constexpr const char* kVersion = "config_version";
constexpr const char* kResources = "resources";
constexpr std::size_t kFieldDepth = 1;     // within the document
constexpr std::size_t kResourceDepth = 2;  // within the list of resources

}  // namespace

std::string ConfigurationReader::read(std::string_view bytes) {
    Json::sax_parse(bytes.begin(), bytes.end(), static_cast<nlohmann::json_sax<Json>*>(this));
    return failure_;
}

bool ConfigurationReader::fail(std::string reason) {
    failure_ = std::move(reason);
    return false;
}

bool ConfigurationReader::finishResource(const Json& resource) {
    ended_ = !callbacks_.onResource(index_++, resource);
    return !ended_;
}

bool ConfigurationReader::parse_error(std::size_t /*position*/, const std::string& /*token*/,
                                      const nlohmann::detail::exception& /*error*/) {
    return fail("body: is not valid JSON");
}

bool ConfigurationReader::key(string_t& name) {
    key_ = std::move(name);
    return true;
}

void ConfigurationReader::setField(Json value) {
    if (key_ == kVersion || key_ == kResources) fields_[key_] = std::move(value);
}

bool ConfigurationReader::isResourceFull() {
    if (values_ < kMaxValues) return false;
    fail("/resources/" + std::to_string(index_) + ": has too many values");
    return true;
}

// Inserts a value into the innermost open container of the resource.
ConfigurationReader::Json& ConfigurationReader::insert(Json value) {
    auto& parent = *containers_.back();
    ++values_;
    auto& inserted = parent.is_object() ? parent[key_] : parent.emplace_back();
    inserted = std::move(value);
    return inserted;
}

// A value that is neither a list nor an object.
bool ConfigurationReader::add(Json value) {
    if (depth_ == 0) return fail("body: must be an object");
    if (isResourceFull()) return false;
    if (!containers_.empty()) insert(std::move(value));
    else if (depth_ == kFieldDepth) setField(std::move(value));
    else if (inResources_ && depth_ == kResourceDepth) return finishResource(value);
    return true;
}

bool ConfigurationReader::open(Json container) {
    if (depth_ == 0 && !container.is_object()) return fail("body: must be an object");
    if (depth_ == kMaxDepth) return fail("body: is nested too deeply");
    if (isResourceFull()) return false;
    if (!containers_.empty()) {
        containers_.push_back(&insert(std::move(container)));
    } else if (depth_ == kFieldDepth) {
        inResources_ = key_ == kResources && container.is_array();
        index_ = 0;
        if (inResources_) callbacks_.onResources();
        setField(std::move(container));
    } else if (inResources_ && depth_ == kResourceDepth) {
        resource_ = std::move(container);
        containers_.push_back(&resource_);
    }
    ++depth_;
    return true;
}

bool ConfigurationReader::close() {
    --depth_;
    if (depth_ == kFieldDepth) inResources_ = false;
    if (containers_.empty()) return true;
    containers_.pop_back();
    if (!containers_.empty()) return true;
    values_ = 0;
    return finishResource(resource_);
}

}  // namespace lichenlanding::config
