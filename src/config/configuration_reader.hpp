/// Reads the JSON text of a configuration one resource at a time, so that it takes little more memory than
/// its largest resource, whatever the text contains.
///
/// No I/O. Not thread-safe.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lichenlanding::config {

class ConfigurationReader final : private nlohmann::json_sax<nlohmann::json> {
  public:
    using Json = nlohmann::json;

    /// The greatest depth of nested values, and the greatest number of values in one resource.
    static constexpr std::size_t kMaxDepth = 32;
    static constexpr std::size_t kMaxValues = 20'000;

    struct Callbacks {
        /// A list of resources begins; those of an earlier list under the same name are void.
        std::function<void()> onResources;
        /// Returns false to end the reading.
        std::function<bool(std::size_t index, const Json& resource)> onResource;
    };
    explicit ConfigurationReader(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}

    /// Returns why the text is no JSON object that can be read, or an empty text.
    std::string read(std::string_view bytes);
    bool ended() const { return ended_; }  ///< by a callback, before the end of the text
    /// The fields `config_version` and `resources`, where they are present. Of a list or an object only the
    /// type is kept.
    const Json& fields() const { return fields_; }

  private:
    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); }
    bool number_unsigned(number_unsigned_t value) override { return add(value); }
    bool number_float(number_float_t value, const string_t& /*text*/) override { return add(value); }
    bool string(string_t& value) override { return add(std::move(value)); }
    bool binary(binary_t& value) override { return add(std::move(value)); }
    bool start_object(std::size_t /*size*/) override { return open(Json::object()); }
    bool key(string_t& name) override;
    bool end_object() override { return close(); }
    bool start_array(std::size_t /*size*/) override { return open(Json::array()); }
    bool end_array() override { return close(); }
    bool parse_error(std::size_t position, const std::string& token,
                     const nlohmann::detail::exception& error) override;

    bool add(Json value);
    bool open(Json container);
    bool close();
    bool fail(std::string reason);
    bool finishResource(const Json& resource);
    void setField(Json value);
    bool isResourceFull();
    Json& insert(Json value);

    Callbacks callbacks_;
    Json fields_ = Json::object();
    std::string failure_;
    std::string key_;        // of the value that follows
    std::size_t depth_ = 0;  // number of open objects and lists
    bool inResources_ = false;
    std::size_t index_ = 0;          // of the next resource
    Json resource_;                  // the one being read
    std::size_t values_ = 0;         // within `resource_`
    std::vector<Json*> containers_;  // open ones within `resource_`, outermost first
    bool ended_ = false;
};

}  // namespace lichenlanding::config
