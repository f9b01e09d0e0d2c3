// Chunking of large messages: what arrives, in which order, and the errors on corrupt or missing chunks. Over
// a simulated slow link in virtual time, and over real connections.
#include "transport/chunks.hpp"

#include <random>

#include "support/transcript.hpp"
#include "transport/peer_connection.hpp"

using namespace lichenlanding;
using namespace lichenlanding::transport;

namespace {

EncodedMessage bytes(std::size_t count, char first) {
    std::string all(count, first);
    for (std::size_t at = 0; at < count; at += 97) all[at] = static_cast<char>(first + at / 97 % 20);
    return std::make_shared<const std::string>(std::move(all));
}

}  // namespace

class ChunksTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ChunksTest);
    CPPUNIT_TEST(smallMessagesPassOnSlowLine);
    CPPUNIT_TEST(messagesOfAnySizeArriveWhole);
    CPPUNIT_TEST(corruptChunksAreRefused);
    CPPUNIT_TEST(smallMessagesOvertakeOnConnections);
    CPPUNIT_TEST_SUITE_END();

  public:
    // A large message on a 2 Mbit/s link, with a small message every 100 ms. Sent as a single frame, the
    // large message would take longer than the receiver waits before it closes the connection.
    void smallMessagesPassOnSlowLine() {
        constexpr double nanosPerByte = 8 * 1e9 / 2e6;
        constexpr Nanos silenceTimeout = 2100 * kMillisecond;  // as in transport/peer_connection.cpp
        const auto large = bytes(600'000, 'z');
        CPPUNIT_ASSERT(static_cast<Nanos>(static_cast<double>(large->size()) * nanosPerByte) >
                       silenceTimeout);
        SendQueue out;
        ChunkReassembler in;
        out.push(large);
        std::map<std::string, Nanos> pushed;
        Nanos time = 0;
        Nanos lastReceived = 0;
        Nanos longestGap = 0;
        Nanos longestWait = 0;
        Nanos wholeAt = 0;
        int small = 0;
        for (Nanos nextSmall = 0; !out.empty() || wholeAt == 0;) {
            while (nextSmall <= time) {
                const auto text = "p" + std::to_string(small++);
                pushed[text] = nextSmall, nextSmall += 100 * kMillisecond;
                out.push(std::make_shared<const std::string>(text));
            }
            const auto frame = out.next();
            time += static_cast<Nanos>(static_cast<double>(frame->size()) * nanosPerByte);
            longestGap = std::max(longestGap, time - std::exchange(lastReceived, time));
            const auto whole = in.addFrame(*frame);
            if (!whole) continue;
            if (const auto at = pushed.find(*whole); at != pushed.end()) {
                longestWait = std::max(longestWait, time - at->second);
            } else {
                CPPUNIT_ASSERT(*whole == *large);
                wholeAt = time;
            }
        }
        CPPUNIT_ASSERT(longestGap < silenceTimeout / 10);
        CPPUNIT_ASSERT(longestWait < 300 * kMillisecond);
        CPPUNIT_ASSERT(wholeAt <
                       static_cast<Nanos>(static_cast<double>(large->size()) * nanosPerByte * 1.01));
    }

    void messagesOfAnySizeArriveWhole() {
        for (const std::size_t size :
             {std::size_t{0}, std::size_t{1}, kMaxUnchunkedBytes, kMaxUnchunkedBytes + 1, 3 * kChunkBytes - 1,
              3 * kChunkBytes, 3 * kChunkBytes + 1, std::size_t{5'000'000}}) {
            SendQueue out;
            ChunkReassembler in;
            // Two large messages in a row and a small one that overtakes them.
            for (const char first : {'a', 'b'}) out.push(bytes(size, first));
            out.push(bytes(7, 'p'));
            CPPUNIT_ASSERT_EQUAL(2 * size + 7, out.bytes());
            std::vector<std::string> received;
            std::size_t frames = 0;
            while (!out.empty()) {
                const auto frame = out.next();
                ++frames;
                CPPUNIT_ASSERT(frame->size() <= kMaxUnchunkedBytes);
                if (auto whole = in.addFrame(*frame)) received.push_back(std::move(*whole));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), out.bytes());
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), received.size());
            const auto smallIndex = size > kMaxUnchunkedBytes ? 0 : 2;
            CPPUNIT_ASSERT_EQUAL(*bytes(7, 'p'), received[static_cast<std::size_t>(smallIndex)]);
            received.erase(received.begin() + smallIndex);
            CPPUNIT_ASSERT(received[0] == *bytes(size, 'a') && received[1] == *bytes(size, 'b'));
            CPPUNIT_ASSERT_EQUAL(
                size > kMaxUnchunkedBytes ? 1 + 2 * ((size + kChunkBytes - 1) / kChunkBytes) : 3, frames);
        }
    }

    // Every corruption of a message's chunks is detected, at the chunk or at the end of the message.
    void corruptChunksAreRefused() {
        std::vector<std::string> good;
        SendQueue out;
        out.push(bytes(4 * kChunkBytes, 'x'));
        while (!out.empty()) good.push_back(*out.next());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), good.size());
        const auto resultOf = [](const std::vector<std::string>& frames) {
            ChunkReassembler in;
            try {
                for (const auto& frame : frames)
                    if (in.addFrame(frame)) return std::string("whole");
            } catch (const std::runtime_error& error) {
                return std::string(error.what());
            }
            return std::string("nothing");
        };
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), resultOf(good));
        std::string transcript;
        const auto record = [&](const char* what, std::vector<std::string> frames) {
            transcript += std::string(what) + ": " + resultOf(frames) + "\n";
        };
        record("the first missing", {good[1], good[2], good[3]});
        record("one missing", {good[0], good[2], good[3]});
        record("the last missing", {good[0], good[1], good[2]});
        record("one twice", {good[0], good[1], good[1]});
        record("begun anew", {good[0], good[1], good[0]});
        auto frames = good;
        frames[2][500] ^= 1;
        record("a bit of the bytes", frames);
        frames = good, frames[2].pop_back();
        record("a byte less", frames);
        frames = good, frames[3] += 'x';
        record("a byte more", frames);
        frames = good, frames[0].resize(9);
        record("half a head", frames);
        frames = good;
        for (auto& frame : frames) frame[9] = frame[10] = frame[11] = frame[12] = '\xff';
        record("an absurd count", frames);
        frames = good;
        for (auto& frame : frames) frame[9] = 0;
        record("a count of none", frames);
        for (std::size_t offset = 1; offset < 17; ++offset) {  // a changed bit in any header byte
            frames = good, frames[1][offset] ^= 4;
            CPPUNIT_ASSERT_EQUAL(std::string("chunk: out of sequence"), resultOf(frames));
        }
        approve("chunks-corrupt", transcript);
    }

    // Over real connections: small messages overtake a large one, and all arrive complete.
    void smallMessagesOvertakeOnConnections() {
        asio::io_context io{1};
        auto acceptor = listen(io, "127.0.0.1:0");
        const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        std::string text(3'000'000, 'x');
        std::mt19937 random(7);
        for (auto& letter : text) letter = static_cast<char>(random());  // incompressible
        std::vector<std::string> received;
        auto reader = std::make_shared<PeerConnection::Callbacks>();
        auto writer = std::make_shared<PeerConnection::Callbacks>();
        reader->makeHello = [](PeerConnection&) { return Json(); };
        reader->onClosed = writer->onClosed = [](PeerConnection&) {};
        reader->onMessage = [&](PeerConnection&, const Json& message) {
            const auto kind = message.at("t").get<std::string>();
            received.push_back(kind);
            if (kind == "large") {
                const auto& bytes = message.at("bytes").get_binary();
                CPPUNIT_ASSERT(std::equal(bytes.begin(), bytes.end(), text.begin(), text.end(),
                                          [](auto a, auto b) { return a == static_cast<std::uint8_t>(b); }));
            }
        };
        writer->onMessage = [](PeerConnection&, const Json&) {};
        writer->makeHello = [&](PeerConnection& connection) {
            connection.send(Json{{"t", "large"}, {"bytes", Json::binary({text.begin(), text.end()})}});
            for (int at = 0; at < 20; ++at) connection.send(Json{{"t", "small"}});
            return Json();
        };
        spawn(io, "links", servePeerConnections(io, acceptor, reader));
        const auto dialer = std::make_shared<Dialer>(io, address, writer);
        dialer->start();
        while (received.size() < 21) CPPUNIT_ASSERT(io.run_one_for(std::chrono::seconds(15)) > 0);
        CPPUNIT_ASSERT_EQUAL(std::string("large"), received.back());
        dialer->stop();
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChunksTest);
