#include "metadata/json.hpp"

#include <limits>
#include <stdexcept>

namespace lichenlanding::metadata {
namespace {

// Builds the value from the parser's events and stops at the first construct that is not allowed.
class StrictParser final : public nlohmann::json_sax<Json> {
  public:
    Json root;
    std::string error;

    bool null() override { return addValue(nullptr); }
    bool boolean(bool value) override { return addValue(value); }
    bool number_integer(number_integer_t value) override { return addValue(value); }
    bool number_unsigned(number_unsigned_t value) override {
        if (value > static_cast<number_unsigned_t>(std::numeric_limits<std::int64_t>::max()))
            return fail("integer out of the 64-bit range");
        return addValue(static_cast<std::int64_t>(value));
    }
    bool number_float(number_float_t /*val*/, const string_t& text) override {
        return fail(text.find_first_of(".eE") == string_t::npos ? "integer out of the 64-bit range"
                                                                : "number with a fraction or exponent");
    }
    bool string(string_t& value) override { return addValue(std::move(value)); }
    bool binary(binary_t& /*val*/) override { return fail("binary"); }
    bool start_object(std::size_t /*elements*/) override { return openContainer(Json::object()); }
    bool start_array(std::size_t /*elements*/) override { return openContainer(Json::array()); }
    bool end_object() override { return closeContainer(); }
    bool end_array() override { return closeContainer(); }
    bool key(string_t& name) override {
        if (openContainers_.back()->contains(name))
            return fail("duplicate member \"" + escaped(name, 60) + "\"");
        slot_ = &(*openContainers_.back())[name];
        return true;
    }
    bool parse_error(std::size_t at, const std::string& /*last_token*/,
                     const nlohmann::detail::exception& /*ex*/) override {
        return fail("JSON syntax error at byte " + std::to_string(at));
    }

  private:
    template <typename T>
    bool addValue(T&& value) {
        insert(std::forward<T>(value));
        return true;
    }
    template <typename T>
    Json* insert(T&& value) {
        if (openContainers_.empty()) return &(root = std::forward<T>(value));
        if (openContainers_.back()->is_array())
            return &openContainers_.back()->emplace_back(std::forward<T>(value));
        return &(*slot_ = std::forward<T>(value));
    }
    bool openContainer(Json empty) {
        if (openContainers_.size() >= kMaxDepth)
            return fail("nested deeper than the limit of " + std::to_string(kMaxDepth));
        openContainers_.push_back(insert(std::move(empty)));
        return true;
    }
    bool closeContainer() {
        openContainers_.pop_back();
        return true;
    }
    bool fail(std::string reason) {
        if (error.empty()) error = std::move(reason);
        return false;
    }

    // Enclosing arrays and objects. The pointers stay valid because only the innermost container grows.
    std::vector<Json*> openContainers_;
    Json* slot_ = nullptr;  // value of the member whose name was read last
};

void appendCanonical(const Json& value, std::string& to) {
    switch (value.type()) {
        case Json::value_t::object: {
            char separator = '{';
            for (const auto& [name, element] : value.items()) {  // items() of a std::map: sorted by bytes
                to += separator;
                appendCanonical(name, to);
                to += ':';
                appendCanonical(element, to);
                separator = ',';
            }
            to += separator == '{' ? "{}" : "}";
            return;
        }
        case Json::value_t::array: {
            char separator = '[';
            for (const auto& element : value) {
                to += separator;
                appendCanonical(element, to);
                separator = ',';
            }
            to += separator == '[' ? "[]" : "]";
            return;
        }
        case Json::value_t::string:
            to += '"';
            for (const char character : value.get_ref<const std::string&>()) {
                if (character == '"' || character == '\\') to += '\\';
                to += character;
            }
            to += '"';
            return;
        case Json::value_t::boolean:
            to += value.get<bool>() ? "true" : "false";
            return;
        case Json::value_t::number_integer:
            to += std::to_string(value.get<std::int64_t>());
            return;
        case Json::value_t::number_unsigned:
            to += std::to_string(value.get<std::uint64_t>());
            return;
        case Json::value_t::null:
            to += "null";
            return;
        default:
            throw std::invalid_argument("canonical JSON does not support fractions");
    }
}

}  // namespace

Result<Json> parseJson(std::string_view text, std::size_t maxBytes) {
    if (text.size() > maxBytes)
        return Refusal{Reason::tooLong,
                       {},
                       0,
                       std::to_string(text.size()) + " bytes, limit " + std::to_string(maxBytes)};
    StrictParser parser;
    if (!Json::sax_parse(text.begin(), text.end(), &parser))
        return Refusal{Reason::unreadable, {}, 0, parser.error};
    return std::move(parser.root);
}

std::string canonical(const Json& value) {
    std::string text;
    appendCanonical(value, text);
    return text;
}

const Json* member(const Json& object, const char* name, Json::value_t type) {
    if (!object.is_object()) return nullptr;
    const auto found = object.find(name);
    return found != object.end() && found->type() == type ? &*found : nullptr;
}

const std::string* textMember(const Json& object, const char* name) {
    const auto* found = member(object, name, Json::value_t::string);
    return found ? &found->get_ref<const std::string&>() : nullptr;
}

std::optional<std::int64_t> integerMember(const Json& object, const char* name, std::int64_t minimum) {
    if (!object.is_object()) return {};
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_integer()) return {};
    const auto value = found->get<std::int64_t>();
    if (value < minimum) return {};
    return value;
}

}  // namespace lichenlanding::metadata
