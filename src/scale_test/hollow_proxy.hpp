/// A simulated proxy: exchanges the same messages as a real proxy, using the same modules, but serves no
/// client traffic. Single-threaded, on the event loop of its process.
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

/// Prints a fact (facts.hpp); adds the current time as "ns" if `about` has none.
void printFact(const char* fact, Json about);

/// The proxies that a control node lists.
struct Roster {
    std::uint64_t hash = 0;                      ///< of all names and addresses
    std::map<std::string, std::string> proxies;  ///< addresses by name
};

/// State that the simulated proxies of one process share. Outlives them.
struct SimulatorProcess {
    transport::asio::io_context& io;
    int port = 0;  ///< on which each proxy listens for peers
    Nanos heartbeat = 0;
    std::vector<std::string> seeds;  ///< addresses of seed control nodes
    /// Numbers of messages since the start, by the peer's role and by message type.
    std::map<std::string, std::map<std::string, std::uint64_t>> received{}, sent{};
    std::mt19937_64 random{std::random_device{}()};

    /// Decodes a roster message. Proxies of a process receive the same rosters and share the decoded ones,
    /// since all of them run on one thread while each real proxy has its own machine.
    std::shared_ptr<const Roster> roster(const Json& message);
    std::map<std::uint64_t, std::weak_ptr<const Roster>> rosters{};  ///< by hash; cache of roster()
};

class SimulatedProxy : public std::enable_shared_from_this<SimulatedProxy> {
  public:
    SimulatedProxy(SimulatorProcess& process, std::string name, std::string ip);

    /// Listens, and connects to the seeds.
    void open();
    /// Closes all connections and stops sending.
    void stop();

  private:
    using PeerConnection = transport::PeerConnection;

    std::string addressOf(const std::string& ip) const;
    void send(PeerConnection& connection, const Json& message);
    void sendToControlNodes(const Json& message);
    Json makeHello(PeerConnection& connection);
    void dialControlNode(const std::string& address);
    void onHello(PeerConnection& from, const Json& hello);
    void onMessage(PeerConnection& from, const Json& message);
    void onUpdate(PeerConnection& from, const Json& message);
    void onClosed(PeerConnection& connection);
    void printProgress();
    void updateFleet();
    void setPeers(const std::set<std::string>& addresses);
    static transport::Task<> watchPeers(std::shared_ptr<SimulatedProxy> self);

    SimulatorProcess& process_;
    const std::string name_, ip_;
    const std::uint64_t incarnation_;
    std::shared_ptr<PeerConnection::Callbacks> callbacks_;
    std::unique_ptr<transport::tcp::acceptor> acceptor_;
    std::map<std::string, std::shared_ptr<transport::Dialer>> controlNodes_, peers_;  // by address
    std::vector<std::weak_ptr<PeerConnection>> connections_;
    std::map<std::string, std::shared_ptr<const Roster>> rosters_;        // by control node
    std::map<std::uint64_t, std::shared_ptr<const Roster>> usedRosters_;  // by hash
    std::map<std::string, std::string> watchedPeers_;                     // addresses by name
    subscription::QuorumContact quorumContact_;
    subscription::ConfigurationCache cache_;
    bool ready_ = false, rolloutsKnown_ = false, stopped_ = false, configurationChanged_ = false;
};

}  // namespace lichenlanding::scale_test
