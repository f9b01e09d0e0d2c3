/// A hollow proxy: it says and hears what a proxy does, by the same modules, and takes no traffic. One
/// thread, the loop of its process.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "proxy/peer_messages.hpp"
#include "subscription/configuration_cache.hpp"
#include "subscription/quorum_contact.hpp"
#include "transport/peer_connection.hpp"

namespace lichenlanding::scale_test {

using Json = nlohmann::json;

/// Prints a fact (facts.hpp) with the time.
void tellFact(const char* fact, Json about);

/// The proxies that a control node knows: addresses by name.
struct Roster {
    std::uint64_t hash = 0;
    std::map<std::string, std::string> proxies;
};

/// What the hollow proxies of one process share. Outlives them.
struct HollowProcess {
    transport::asio::io_context& io;
    int port = 0;  ///< of each proxy, for peers
    Nanos heartbeat = 0;
    std::vector<std::string> seeds;  ///< addresses of control nodes
    /// Messages since the start, by the peer's role and by type.
    std::map<std::string, std::map<std::string, std::uint64_t>> heard{}, sent{};
    std::mt19937_64 chance{std::random_device{}()};

    /// All proxies of a process are told the same many times over, so what is worked out of it is kept once
    /// for all: a process of them has one thread where each real proxy has its own machine.
    std::shared_ptr<const Roster> roster(const Json& message);
    std::map<std::uint64_t, std::weak_ptr<const Roster>> rosters{};  ///< by hash; kept by roster()
};

class HollowProxy : public std::enable_shared_from_this<HollowProxy> {
  public:
    HollowProxy(HollowProcess& process, std::string name, std::string ip);

    /// Listens, and connects to the seeds.
    void open();
    /// Ends all connections; the proxy says nothing any more.
    void leave();

  private:
    using PeerConnection = transport::PeerConnection;

    std::string addressOf(const std::string& ip) const;
    void send(PeerConnection& connection, const Json& message);
    void sendToControlNodes(const Json& message);
    Json greet(PeerConnection& connection);
    void dialControlNode(const std::string& address);
    void onHello(PeerConnection& from, const Json& hello);
    void onMessage(PeerConnection& from, const Json& message);
    void onNews(PeerConnection& from, const Json& message);
    void onClosed(PeerConnection& connection);
    void tellProgress();
    void updateFleet();
    void setPeers(const std::set<std::string>& addresses);
    static transport::Task<> watchPeers(std::shared_ptr<HollowProxy> self);

    HollowProcess& process_;
    const std::string name_, ip_;
    const std::uint64_t life_;
    std::shared_ptr<PeerConnection::Callbacks> owner_;
    std::unique_ptr<transport::tcp::acceptor> acceptor_;
    std::map<std::string, std::shared_ptr<transport::Dialer>> controlNodes_, peers_;  // by address
    std::vector<std::weak_ptr<PeerConnection>> connections_;
    std::map<std::string, std::shared_ptr<const Roster>> rosters_;         // by control node
    std::map<std::uint64_t, std::shared_ptr<const Roster>> knownRosters_;  // by hash
    std::map<std::string, std::string> watched_;                           // addresses by name
    subscription::QuorumContact quorumContact_;
    subscription::ConfigurationCache cache_;
    bool ready_ = false, rolloutsKnown_ = false, left_ = false, newConfiguration_ = false;
};

}  // namespace lichenlanding::scale_test
