// Typed access to the fields of a JSON object, for untrusted input.
#pragma once

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

namespace lichenlanding::sidecar::json_fields {

using Json = nlohmann::json;

constexpr double kMaxMagnitude = 1e15;  ///< largest magnitude of a number, which is a time or a count

/// The field; a null pointer if `object` is not a JSON object, or the field is missing or null.
inline const Json* find(const Json& object, const char* name) {
    if (!object.is_object()) return nullptr;
    const auto field = object.find(name);
    return field == object.end() || field->is_null() ? nullptr : &*field;
}

// Each of these reads a field into `value`. They return false, with an unspecified value, if the field is
// missing, has another type or is out of range.

inline bool read(const Json& object, const char* name, double& value) {
    const auto* field = find(object, name);
    if (!field || !field->is_number()) return false;
    value = field->get<double>();
    return std::isfinite(value) && std::abs(value) <= kMaxMagnitude;
}

template <typename Integer>
bool readInteger(const Json& object, const char* name, Integer min, Integer max, Integer& value) {
    double number = 0;
    if (!read(object, name, number) || number != std::floor(number)) return false;
    if (number < static_cast<double>(min) || number > static_cast<double>(max)) return false;
    value = static_cast<Integer>(number);
    return true;
}

/// An empty string counts as missing.
inline bool read(const Json& object, const char* name, std::string& value) {
    const auto* field = find(object, name);
    if (!field || !field->is_string()) return false;
    value = field->get<std::string>();
    return !value.empty();
}

/// The name of an enum value in JSON.
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
    for (const auto& candidate : names) {
        if (text != candidate.spelling) continue;
        value = candidate.value;
        return true;
    }
    return false;
}

/// Parses JSON. If `text` is not valid JSON, returns a discarded value, in which find() finds no field.
inline Json parseJson(std::string_view text) { return Json::parse(text.begin(), text.end(), nullptr, false); }

}  // namespace lichenlanding::sidecar::json_fields
