#include "sidecar/request_framing.hpp"

#include "doctest/doctest.h"

using lichenlanding::sidecar::RequestFraming;

namespace {

const std::string kHeader = "POST /order HTTP/1.1\r\nHost: h\r\n";
const std::string kChunkedHeader = kHeader + "transfer-encoding:chunked\r\n\r\n";

std::string repeated(const std::string& text, int times) {
    std::string all;
    for (; times > 0; --times) all += text;
    return all;
}

// Whether the request stays within the bounds, in one piece and byte by byte.
bool accepted(const std::string& bytes) {
    RequestFraming whole;
    RequestFraming pieces;
    const bool result = whole.add(bytes);
    bool last = true;
    for (const char byte : bytes) last = pieces.add({&byte, 1});
    CHECK(last == result);
    return result;
}

}  // namespace

TEST_CASE("RequestFraming: lines of header and trailers are bounded together") {
    constexpr int kFew = RequestFraming::kMaxLines / 2 - 10;
    CHECK(accepted(kHeader + repeated("f:\r\n", 2 * kFew) + "\r\n"));
    CHECK_FALSE(accepted(kHeader + repeated("f:\r\n", RequestFraming::kMaxLines)));
    CHECK_FALSE(accepted(kHeader + repeated("f:\n", RequestFraming::kMaxLines)));
    const auto chunked =
        kHeader + repeated("f:\r\n", kFew) + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    CHECK(accepted(chunked + repeated("t:\r\n", kFew) + "\r\n"));
    CHECK_FALSE(accepted(chunked + repeated("t:\r\n", RequestFraming::kMaxLines)));
}

TEST_CASE("RequestFraming: lines of a body are not counted") {
    const auto lines = repeated("\r\n", 3000);
    CHECK(accepted(kHeader + "Content-Length: 6000\r\n\r\n" + lines));
    CHECK(accepted(kChunkedHeader + "1770\r\n" + lines + "\r\n5;extension\r\nhello\r\n0\r\n\r\n"));
    CHECK(accepted(kChunkedHeader + repeated("1\r\n\n\r\n", 3000) + "0\r\n\r\n"));
}

TEST_CASE("RequestFraming: the line before a chunk is bounded") {
    CHECK_FALSE(accepted(kChunkedHeader + std::string(2000, '0')));
    CHECK_FALSE(accepted(kChunkedHeader + "1\r\nx\r\n1;" + std::string(2000, 'e')));
    CHECK_FALSE(accepted(kChunkedHeader + " 1\r\n" + repeated("t:\r\n", RequestFraming::kMaxLines)));
}
