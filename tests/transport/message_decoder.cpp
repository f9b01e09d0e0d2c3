// Messages of peers are decoded up to a nesting bound.
#include "transport/message_decoder.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace lichenlanding::transport;
using Json = nlohmann::json;

class MessageDecoderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MessageDecoderTest);
    CPPUNIT_TEST(messagesAreReadBack);
    CPPUNIT_TEST(nestingIsBounded);
    CPPUNIT_TEST(bytesThatAreNoMessageAreDiscarded);
    CPPUNIT_TEST_SUITE_END();

    static std::string encode(const Json& message) {
        std::string bytes;
        Json::to_cbor(message, bytes);
        return bytes;
    }
    static bool accepted(const std::string& bytes) { return !decodeMessage(bytes).is_discarded(); }

  public:
    void messagesAreReadBack() {
        const Json message{{"t", "hello"},
                           {"list", {1, -2, 3.5, nullptr, true}},
                           {"empty", Json::object()},
                           {"bytes", "\x01\xff"},
                           {"binary", Json::binary({1, 2, 3})}};
        CPPUNIT_ASSERT(decodeMessage(encode(message)) == message);
        CPPUNIT_ASSERT(decodeMessage("\xf6").is_null());  // a heartbeat
    }
    void nestingIsBounded() {
        const auto nested = [](int depth) {
            return std::string(static_cast<std::size_t>(depth), '\x81') + "\xf6";
        };
        CPPUNIT_ASSERT(accepted(nested(kMaxMessageNesting)));
        CPPUNIT_ASSERT(!accepted(nested(kMaxMessageNesting + 1)));
        CPPUNIT_ASSERT(!accepted(std::string(5'000'000, '\x81')));
        // Beside each other they are no nesting.
        CPPUNIT_ASSERT(accepted("\x98\xff" + std::string(255, '\x80')));
    }
    void bytesThatAreNoMessageAreDiscarded() {
        for (const std::string bytes : {"", "\x81", "\xf6\xf6", "\xff"}) CPPUNIT_ASSERT(!accepted(bytes));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MessageDecoderTest);
