// A message whose handler fails ends its connection and nothing else.
#include "transport/peer_connection.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "support/event_loop_fixture.hpp"

using namespace lichenlanding;
using namespace lichenlanding::transport;

namespace {

// Two processes on one event loop; the first dials the second.
struct Link {
    Link() : acceptor(listen(io, "127.0.0.1:0")) {
        dialing->makeHello = [](PeerConnection&) { return Json{{"t", "hello"}}; };
        dialing->onMessage = [this](PeerConnection&, const Json&) {
            ++received;
            if (onReceived) onReceived();
        };
        dialing->onClosed = [this](PeerConnection&) { ++closed; };
        accepting->makeHello = [](PeerConnection&) { return Json{{"t", "news"}}; };
        accepting->onMessage = [](PeerConnection&, const Json&) {};
        accepting->onClosed = [](PeerConnection&) {};
        spawn(io, "accept", servePeerConnections(io, acceptor, accepting));
        dialer = std::make_shared<Dialer>(io, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                                          dialing);
        dialer->start();
    }
    ~Link() {
        dialer->stop();
        io.stop();
    }
    template <typename Done>
    void until(Done done) {
        event_loop_fixture::runUntil(io, 100'000, done);
    }

    asio::io_context io{1};
    tcp::acceptor acceptor;
    std::shared_ptr<PeerConnection::Callbacks> dialing = std::make_shared<PeerConnection::Callbacks>();
    std::shared_ptr<PeerConnection::Callbacks> accepting = std::make_shared<PeerConnection::Callbacks>();
    std::shared_ptr<Dialer> dialer;
    std::function<void()> onReceived;
    int received = 0, closed = 0;
};

}  // namespace

class PeerConnectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerConnectionTest);
    CPPUNIT_TEST(failedHandlerEndsOneConnection);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Guards against a peer that is never dialed again, and never known as closed, after one message whose
    // handler threw anything but an error of JSON.
    void failedHandlerEndsOneConnection() {
        Link link;
        link.onReceived = [&] {
            if (link.received == 1) throw std::runtime_error("simulated defect");
        };
        link.until([&] { return link.received > 0; });
        link.until([&] { return link.closed > 0; });
        link.until([&] { return link.received > 1; });
        CPPUNIT_ASSERT_EQUAL(1, link.closed);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerConnectionTest);
