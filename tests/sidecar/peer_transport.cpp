#include "sidecar/peer_transport.hpp"

#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::sidecar;

TEST_CASE("datagrams from unknown senders and oversized ones are dropped") {
    SidecarFixture fixture;
    std::vector<Address> addresses;
    for (int peer = 0; peer < 3; ++peer) addresses.push_back({"127.0.0.1", freePort(SOCK_DGRAM)});
    std::vector<std::string> received;
    const auto listen = [&](int peer, std::vector<Address> known) {
        return std::make_unique<PeerTransport>(fixture.loop, addresses[static_cast<std::size_t>(peer)], known,
                                               std::nullopt, [&, peer](int from, const std::string& bytes) {
                                                   received.push_back(std::to_string(from) + ">" +
                                                                      std::to_string(peer) + " " +
                                                                      std::to_string(bytes.size()));
                                               });
    };
    auto peer0 = listen(0, addresses);
    auto peer1 = listen(1, {addresses[0], addresses[1]});
    auto peer2 = listen(2, addresses);
    peer2->send(1, "unknown sender");
    peer0->send(1, std::string(kMaxMessageBytes + 1, 'x'));
    peer0->send(7, "no such peer");
    peer0->send(1, std::string(kMaxMessageBytes, 'x'));
    peer1->send(0, "back");
    fixture.runUntil([&] { return received.size() == 2; });
    std::sort(received.begin(), received.end());
    CHECK(received == std::vector<std::string>{"0>1 256", "1>0 4"});
}
