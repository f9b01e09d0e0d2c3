// What a BoundedParser accepts of a header and of trailers, whatever the pieces in which they arrive.
#include "transport/bounded_parser.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/beast/http/string_body.hpp>

using namespace lichenlanding::transport;
using lichenlanding::limits::MemoryBudget;
namespace http = beast::http;

namespace {

using Parser = BoundedParser<true, http::string_body>;

// Parses the pieces one after another; returns the first error but the lack of further bytes.
ErrorCode parse(Parser& parser, const std::vector<std::string>& pieces) {
    parser.eager(true);
    std::string pending;
    for (const auto& piece : pieces) {
        pending += piece;
        ErrorCode code;
        pending.erase(0, parser.put(boost::asio::buffer(pending), code));
        if (code && code != http::error::need_more) return code;
    }
    return {};
}

const std::string kStartLine = "GET / HTTP/1.1\r\n";

// Fields that Beast parses as they arrive: it sees the first byte of a field behind each of them.
std::vector<std::string> fieldsOneByOne(std::size_t count) {
    std::vector<std::string> pieces(count, ":\r\nf");
    pieces.insert(pieces.begin(), kStartLine + "f");
    return pieces;
}

}  // namespace

class BoundedParserTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BoundedParserTest);
    CPPUNIT_TEST(fieldsThatArriveOneByOneCountTogether);
    CPPUNIT_TEST(headerOfTheGreatestSizeIsAccepted);
    CPPUNIT_TEST(fieldsBeyondTheUnsharedPartNeedMemory);
    CPPUNIT_TEST(memoryIsReturned);
    CPPUNIT_TEST(trailersAreDropped);
    CPPUNIT_TEST(chunkHeadersAreBoundedByTheBody);
    CPPUNIT_TEST_SUITE_END();

  public:
    void fieldsThatArriveOneByOneCountTogether() {
        Parser parser({1000});
        CPPUNIT_ASSERT(parse(parser, fieldsOneByOne(500)) == http::error::header_limit);
        CPPUNIT_ASSERT(std::distance(parser.get().begin(), parser.get().end()) <= 250);
    }
    void headerOfTheGreatestSizeIsAccepted() {
        std::string header = kStartLine;
        while (header.size() < 1000 - 2) header += "f:\r\n";
        header += "\r\n";
        Parser parser({header.size()});
        CPPUNIT_ASSERT(!parse(parser, {header}));
        CPPUNIT_ASSERT(parser.is_header_done());
    }
    void fieldsBeyondTheUnsharedPartNeedMemory() {
        MemoryBudget budget(10 * kFieldOverheadBytes);
        Parser parser({1000, 2 * kFieldOverheadBytes}, MemoryBudget::Share(budget));
        CPPUNIT_ASSERT(parse(parser, fieldsOneByOne(20)) == boost::system::errc::not_enough_memory);
        CPPUNIT_ASSERT(budget.used() > 8 * kFieldOverheadBytes);
    }
    void memoryIsReturned() {
        MemoryBudget budget(100 * kFieldOverheadBytes);
        {
            Parser parser({1000, 0, 2}, MemoryBudget::Share(budget));
            CPPUNIT_ASSERT(!parse(parser, {kStartLine, "f:\r\n", "\r\n"}));
            CPPUNIT_ASSERT_EQUAL(parser.fieldBytes(), budget.used());
            CPPUNIT_ASSERT(budget.used() > 2 * kFieldOverheadBytes);
            const auto taken = parser.takeMemory();
            CPPUNIT_ASSERT_EQUAL(parser.fieldBytes(), taken.bytes());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.used());
    }
    // Chunks of one byte are fine in any number; extensions are not.
    void chunkHeadersAreBoundedByTheBody() {
        Parser plain({1000});
        Parser extended({1000});
        for (int chunk = 0; chunk < 1000; ++chunk) CPPUNIT_ASSERT(!plain.countBody(6, 1));
        ErrorCode code;
        for (int chunk = 0; chunk < 1000 && !code; ++chunk) code = extended.countBody(106, 1);
        CPPUNIT_ASSERT(code == http::error::bad_chunk_extension);
    }
    void trailersAreDropped() {
        Parser parser({1000});
        CPPUNIT_ASSERT(!parse(
            parser, {kStartLine, "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", "0\r\nT: t\r\n\r\n"}));
        CPPUNIT_ASSERT(parser.is_done());
        CPPUNIT_ASSERT_EQUAL(std::string("x"), parser.get().body());
        CPPUNIT_ASSERT(parser.get().find("T") == parser.get().end());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BoundedParserTest);
