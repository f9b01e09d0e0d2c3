#include "transport/message_decoder.hpp"

namespace lichenlanding::transport {
namespace {

using Json = nlohmann::json;

// Accepts any value up to the nesting bound; the decoder stops where an event returns false.
class NestingCheck final : public nlohmann::json_sax<Json> {
  public:
    bool start_object(std::size_t /*elements*/) override { return ++depth_ <= kMaxMessageNesting; }
    bool start_array(std::size_t /*elements*/) override { return ++depth_ <= kMaxMessageNesting; }
    bool end_object() override { return leave(); }
    bool end_array() override { return leave(); }
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }
    bool key(string_t& /*value*/) override { return true; }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const Json::exception& /*error*/) override {
        return false;
    }

  private:
    bool leave() {
        --depth_;
        return true;
    }
    int depth_ = 0;
};

}  // namespace

Json decodeMessage(std::string_view bytes) {
    NestingCheck check;
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &check, Json::input_format_t::cbor))
        return Json(Json::value_t::discarded);
    return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

}  // namespace lichenlanding::transport
