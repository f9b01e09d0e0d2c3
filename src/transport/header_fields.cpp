#include "transport/header_fields.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <iterator>

namespace lichenlanding::transport {

namespace http = boost::beast::http;
using boost::beast::string_view;

bool OversizedFields::insert(http::fields& fields, http::field name, string_view nameText,
                             string_view value) {
    if (nameText.size() > kMaxNameBytes) {
        longNamed_.push_back({std::string(nameText), std::string(value)});
        return true;
    }
    if (name == http::field::connection && value.size() >= kMaxValueBytes) {
        insertConnectionOptions(fields, value);
        return false;
    }
    fields.insert(name, nameText, value.substr(0, kMaxValueBytes));
    if (value.size() < kMaxValueBytes) return false;
    rests_.push_back({std::string(nameText), std::string(value.substr(kMaxValueBytes))});
    return true;
}

// Splits at commas, which separate the options.
void OversizedFields::insertConnectionOptions(http::fields& fields, string_view options) {
    while (options.size() >= kMaxValueBytes) {
        const auto comma = options.substr(0, kMaxValueBytes - 1).rfind(',');
        const auto length = comma == string_view::npos ? kMaxValueBytes - 1 : comma;
        fields.insert(http::field::connection, options.substr(0, length));
        options.remove_prefix(comma == string_view::npos ? length : length + 1);
    }
    fields.insert(http::field::connection, options);
}

void OversizedFields::write(const http::fields& fields, std::string& text) const {
    const auto append = [&text](string_view part) { text.append(part.data(), part.size()); };
    auto rests = rests_;
    for (const auto& field : fields) {
        append(field.name_string());
        append(": ");
        append(field.value());
        if (field.value().size() == kMaxValueBytes) {
            const auto rest = std::find_if(rests.begin(), rests.end(), [&](const Field& one) {
                return boost::beast::iequals(one.name, field.name_string());
            });
            if (rest != rests.end()) {
                append(rest->value);
                rests.erase(rest);
            }
        }
        append("\r\n");
    }
    for (const auto& field : longNamed_) {
        append(field.name);
        append(": ");
        append(field.value);
        append("\r\n");
    }
}

HeaderFields::writer::writer(const HeaderFields& fields, unsigned version, http::verb method)
    : stored_(fields, version, method) {
    collect(fields);
}

HeaderFields::writer::writer(const HeaderFields& fields, unsigned version, unsigned status)
    : stored_(fields, version, status) {
    collect(fields);
}

HeaderFields::writer::writer(const HeaderFields& fields) : stored_(fields) { collect(fields); }

// The stored buffers are the start line, if any, then one for each field, then the empty line.
void HeaderFields::writer::collect(const HeaderFields& fields) {
    const auto stored = stored_.get();
    std::copy(boost::asio::buffer_sequence_begin(stored), boost::asio::buffer_sequence_end(stored),
              std::back_inserter(buffers_));
    if (fields.oversized_.empty()) return;
    fields.oversized_.write(fields, text_);
    text_ += "\r\n";
    const auto fieldCount = static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
    buffers_.resize(buffers_.size() - fieldCount - 1);
    buffers_.emplace_back(text_.data(), text_.size());
}

}  // namespace lichenlanding::transport
