#include "metadata/json.hpp"

#include <limits>
#include <stdexcept>

namespace lichenlanding::metadata {
namespace {

class Reader final : public nlohmann::json_sax<Json> {
  public:
    Json whole;
    std::string wrong;

    bool null() override { return put(nullptr); }
    bool boolean(bool value) override { return put(value); }
    bool number_integer(number_integer_t value) override { return put(value); }
    bool number_unsigned(number_unsigned_t value) override {
        if (value > static_cast<number_unsigned_t>(std::numeric_limits<std::int64_t>::max()))
            return no("a number beyond 64 bits");
        return put(static_cast<std::int64_t>(value));
    }
    bool number_float(number_float_t /*val*/, const string_t& said) override {
        return no(said.find_first_of(".eE") == string_t::npos ? "a number beyond 64 bits" : "a fraction");
    }
    bool string(string_t& value) override { return put(std::move(value)); }
    bool binary(binary_t& /*val*/) override { return no("binary"); }
    bool start_object(std::size_t /*elements*/) override { return open(Json::object()); }
    bool start_array(std::size_t /*elements*/) override { return open(Json::array()); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }
    bool key(string_t& name) override {
        if (open_.back()->contains(name)) return no("the member \"" + escaped(name, 60) + "\" twice");
        slot_ = &(*open_.back())[name];
        return true;
    }
    bool parse_error(std::size_t at, const std::string& /*last_token*/,
                     const nlohmann::detail::exception& /*ex*/) override {
        return no("no JSON at byte " + std::to_string(at));
    }

  private:
    template <typename T>
    bool put(T&& value) {
        place(std::forward<T>(value));
        return true;
    }
    template <typename T>
    Json* place(T&& value) {
        if (open_.empty()) return &(whole = std::forward<T>(value));
        if (open_.back()->is_array()) return &open_.back()->emplace_back(std::forward<T>(value));
        return &(*slot_ = std::forward<T>(value));
    }
    bool open(Json empty) {
        if (open_.size() >= kMaxDepth) return no("nested deeper than " + std::to_string(kMaxDepth));
        open_.push_back(place(std::move(empty)));
        return true;
    }
    bool close() {
        open_.pop_back();
        return true;
    }
    bool no(std::string why) {
        if (wrong.empty()) wrong = std::move(why);
        return false;
    }

    std::vector<Json*> open_;  // an element's place holds while nothing is put behind it
    Json* slot_ = nullptr;
};

void write(const Json& value, std::string& to) {
    switch (value.type()) {
        case Json::value_t::object: {
            char before = '{';
            for (const auto& [name, held] : value.items()) {  // a std::map, sorted by bytes
                to += before;
                write(name, to);
                to += ':';
                write(held, to);
                before = ',';
            }
            to += before == '{' ? "{}" : "}";
            return;
        }
        case Json::value_t::array: {
            char before = '[';
            for (const auto& held : value) {
                to += before;
                write(held, to);
                before = ',';
            }
            to += before == '[' ? "[]" : "]";
            return;
        }
        case Json::value_t::string:
            to += '"';
            for (const char letter : value.get_ref<const std::string&>()) {
                if (letter == '"' || letter == '\\') to += '\\';
                to += letter;
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
            throw std::invalid_argument("canonical JSON has no fractions");
    }
}

}  // namespace

Result<Json> parseJson(std::string_view text, std::size_t maxBytes) {
    if (text.size() > maxBytes)
        return Refusal{
            Reason::tooLong, {}, 0, std::to_string(text.size()) + " bytes of " + std::to_string(maxBytes)};
    Reader reader;
    if (!Json::sax_parse(text.begin(), text.end(), &reader))
        return Refusal{Reason::unreadable, {}, 0, reader.wrong};
    return std::move(reader.whole);
}

std::string canonical(const Json& value) {
    std::string made;
    write(value, made);
    return made;
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

std::optional<std::int64_t> integerMember(const Json& object, const char* name, std::int64_t least) {
    if (!object.is_object()) return {};
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_integer()) return {};
    const auto value = found->get<std::int64_t>();
    if (value < least) return {};
    return value;
}

}  // namespace lichenlanding::metadata
