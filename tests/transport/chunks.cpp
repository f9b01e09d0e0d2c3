// Large messages on a connection go in chunks: what arrives, in which order, and what a corrupt or missing
// chunk does. A slow line in virtual time; then two real connections.
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
    // 2 Mbit/s, half a megabyte, a small message each tenth of a second. As one frame it would show the
    // reader no sign of life for longer than a connection is given up after.
    void smallMessagesPassOnSlowLine() {
        constexpr double nanosPerByte = 8 * 1e9 / 2e6;
        constexpr Nanos silentAfter = 2100 * kMillisecond;  // as in transport/peer_connection.cpp
        const auto large = bytes(600'000, 'z');
        CPPUNIT_ASSERT(static_cast<Nanos>(static_cast<double>(large->size()) * nanosPerByte) > silentAfter);
        SendQueue out;
        ChunkReassembler in;
        out.push(large);
        std::map<std::string, Nanos> pushed;
        Nanos time = 0;
        Nanos lastHeard = 0;
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
            longestGap = std::max(longestGap, time - std::exchange(lastHeard, time));
            const auto whole = in.addFrame(*frame);
            if (!whole) continue;
            if (const auto at = pushed.find(*whole); at != pushed.end()) {
                longestWait = std::max(longestWait, time - at->second);
            } else {
                CPPUNIT_ASSERT(*whole == *large);
                wholeAt = time;
            }
        }
        CPPUNIT_ASSERT(longestGap < silentAfter / 10);
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
            // Two large ones in a row, a small one that overtakes them.
            for (const char first : {'a', 'b'}) out.push(bytes(size, first));
            out.push(bytes(7, 'p'));
            CPPUNIT_ASSERT_EQUAL(2 * size + 7, out.bytes());
            std::vector<std::string> came;
            std::size_t frames = 0;
            while (!out.empty()) {
                const auto frame = out.next();
                ++frames;
                CPPUNIT_ASSERT(frame->size() <= kMaxUnchunkedBytes);
                if (auto whole = in.addFrame(*frame)) came.push_back(std::move(*whole));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), out.bytes());
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), came.size());
            const auto place = size > kMaxUnchunkedBytes ? 0 : 2;
            CPPUNIT_ASSERT_EQUAL(*bytes(7, 'p'), came[static_cast<std::size_t>(place)]);
            came.erase(came.begin() + place);
            CPPUNIT_ASSERT(came[0] == *bytes(size, 'a') && came[1] == *bytes(size, 'b'));
            CPPUNIT_ASSERT_EQUAL(
                size > kMaxUnchunkedBytes ? 1 + 2 * ((size + kChunkBytes - 1) / kChunkBytes) : 3, frames);
        }
    }

    // Each way to spoil the chunks of a message is found, at the chunk or at the end.
    void corruptChunksAreRefused() {
        std::vector<std::string> good;
        SendQueue out;
        out.push(bytes(4 * kChunkBytes, 'x'));
        while (!out.empty()) good.push_back(*out.next());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), good.size());
        const auto refused = [](const std::vector<std::string>& frames) {
            ChunkReassembler in;
            try {
                for (const auto& frame : frames)
                    if (in.addFrame(frame)) return std::string("whole");
            } catch (const std::runtime_error& wrong) {
                return std::string(wrong.what());
            }
            return std::string("nothing");
        };
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), refused(good));
        std::string seen;
        const auto spoil = [&](const char* what, std::vector<std::string> frames) {
            seen += std::string(what) + ": " + refused(frames) + "\n";
        };
        spoil("the first missing", {good[1], good[2], good[3]});
        spoil("one missing", {good[0], good[2], good[3]});
        spoil("the last missing", {good[0], good[1], good[2]});
        spoil("one twice", {good[0], good[1], good[1]});
        spoil("begun anew", {good[0], good[1], good[0]});
        auto frames = good;
        frames[2][500] ^= 1;
        spoil("a bit of the bytes", frames);
        frames = good, frames[2].pop_back();
        spoil("a byte less", frames);
        frames = good, frames[3] += 'x';
        spoil("a byte more", frames);
        frames = good, frames[0].resize(9);
        spoil("half a head", frames);
        frames = good;
        for (auto& frame : frames) frame[9] = frame[10] = frame[11] = frame[12] = '\xff';
        spoil("an absurd count", frames);
        frames = good;
        for (auto& frame : frames) frame[9] = 0;
        spoil("a count of none", frames);
        for (std::size_t head = 1; head < 17; ++head) {  // any bit of a head
            frames = good, frames[1][head] ^= 4;
            CPPUNIT_ASSERT_EQUAL(std::string("chunk: not the next one"), refused(frames));
        }
        approve("chunks-corrupt", seen);
    }

    // Over real connections: small messages overtake megabytes, and all arrive whole.
    void smallMessagesOvertakeOnConnections() {
        asio::io_context io{1};
        auto door = listen(io, "127.0.0.1:0");
        const auto address = "127.0.0.1:" + std::to_string(door.local_endpoint().port());
        std::string text(3'000'000, 'x');
        std::mt19937 chance(7);
        for (auto& letter : text) letter = static_cast<char>(chance());  // what can't be compressed
        std::vector<std::string> came;
        auto reader = std::make_shared<PeerConnection::Callbacks>();
        auto writer = std::make_shared<PeerConnection::Callbacks>();
        reader->makeHello = [](PeerConnection&) { return Json(); };
        reader->onClosed = writer->onClosed = [](PeerConnection&) {};
        reader->onMessage = [&](PeerConnection&, const Json& message) {
            const auto kind = message.at("t").get<std::string>();
            came.push_back(kind);
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
        spawn(io, "links", servePeerConnections(io, door, reader));
        const auto dialer = std::make_shared<Dialer>(io, address, writer);
        dialer->start();
        while (came.size() < 21) CPPUNIT_ASSERT(io.run_one_for(std::chrono::seconds(15)) > 0);
        CPPUNIT_ASSERT_EQUAL(std::string("large"), came.back());
        dialer->stop();
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChunksTest);
