// Typed access to the fields of a JSON object, for messages that come from outside.
#pragma once

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

namespace lichenlanding::sidecar::json_fields {

using Json = nlohmann::json;

constexpr double kMaxMagnitude = 1e15;  ///< of a number that stands for a time or a count

/// The field, unless `object` is none, or has no such field, or it is null.
inline const Json* find(const Json& object, const char* name) {
    if (!object.is_object()) return nullptr;
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

// Each reads one field into `value`; false, with an unspecified value, if it is missing, of another type or
// out of range.

inline bool read(const Json& object, const char* name, double& value) {
    const auto* found = find(object, name);
    if (!found || !found->is_number()) return false;
    value = found->get<double>();
    return std::isfinite(value) && std::abs(value) <= kMaxMagnitude;
}

template <typename Integer>
bool readInteger(const Json& object, const char* name, Integer least, Integer most, Integer& value) {
    double number = 0;
    if (!read(object, name, number) || number != std::floor(number)) return false;
    if (number < static_cast<double>(least) || number > static_cast<double>(most)) return false;
    value = static_cast<Integer>(number);
    return true;
}

/// An empty text counts as missing.
inline bool read(const Json& object, const char* name, std::string& value) {
    const auto* found = find(object, name);
    if (!found || !found->is_string()) return false;
    value = found->get<std::string>();
    return !value.empty();
}

template <typename Value>
struct WireName {
    const char* spelling;
    Value value;
};

template <typename Value, std::size_t Count>
bool readNamedValue(const Json& object, const char* name, const WireName<Value> (&names)[Count],
                    Value& value) {
    std::string text;
    if (!read(object, name, text)) return false;
    for (const auto& known : names) {
        if (text != known.spelling) continue;
        value = known.value;
        return true;
    }
    return false;
}

/// Discarded, which no reader accepts, if `text` is no JSON.
inline Json parseJson(std::string_view text) { return Json::parse(text.begin(), text.end(), nullptr, false); }

}  // namespace lichenlanding::sidecar::json_fields
