// Runs a proxy's HTTP server between scripted pods and clients on loopback. The proxy has an event loop of
// its own, so that it can be paused while pods and clients continue. Pods count the requests they execute;
// checkInvariants() checks what every exchange must satisfy. Tests do not sleep for a result: both loops run
// until it is there, and a stall fails the test.
#pragma once

#include <functional>
#include <set>

#include "proxy/http_server.hpp"
#include "support/transcript.hpp"

namespace scripted {

using namespace lichenlanding;
using namespace lichenlanding::transport;

// A pod's reaction to one request.
struct Reply {
    std::string bytes;  // {id} is replaced by the id of the request
    enum After { keep, close, reset, silent } after = keep;
    bool executes = true;
    bool awaitsRelease = false;          // wait for release() before replying
    std::string bytesAfterRelease = {};  // sent after `bytes`, once release() is called
};

struct Arrival {
    std::string pod, id;
    int number = 1;  // how often this id has arrived, over all pods
};
using Script = std::function<Reply(const Arrival&)>;

// A response parsed from the bytes that a client received.
struct ClientResponse {
    int status = 0;
    std::string id, body, retryAfter;
    bool close = false, whole = false;
};

struct Client {
    explicit Client(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::string received;
    bool ended = false;
    std::vector<std::string> requestIds;            // ids of the requests sent, in order
    std::vector<ClientResponse> responses() const;  // the last one may be incomplete
};

std::string ok(const std::string& id = "{id}", const std::string& more = "");  // with Content-Length
std::string chunks();                                                          // with chunked coding
std::string refusal(int status, const std::string& more = "X-Not-Executed: 1\r\n");
std::string get(const std::string& id, int millis = 4000, const std::string& more = "",
                const std::string& path = "/read/1");
std::string post(const std::string& id, int millis = 4000, const std::string& body = "x",
                 const std::string& more = "");

class ProxyFixture {
  public:
    explicit ProxyFixture(Script script, const std::vector<std::string>& pods = {"A", "B"},
                          double slack = 1e6);
    ~ProxyFixture();

    std::shared_ptr<Client> client(const std::string& bytes = "", const std::vector<std::string>& ids = {});
    void write(const std::shared_ptr<Client>& client, const std::string& bytes,
               const std::vector<std::string>& ids = {});
    static void disconnect(const std::shared_ptr<Client>& client, bool reset);
    // Runs until the client has this many complete responses, or its connection has ended.
    void awaitResponses(const std::shared_ptr<Client>& client, std::size_t responses = 1);
    // Sends one request on a new connection and runs until its response has arrived and no work is left.
    ClientResponse roundTrip(const std::string& bytes, const std::string& id);
    // Runs until no attempt is in flight and no event is pending.
    void awaitIdle();
    template <typename Done>
    void until(Done done) {
        const Nanos began = now();
        for (Nanos last = began; !done();) {
            const auto turns = proxyLoop.poll() + externalLoop.poll();
            if (turns > 0 || proxyLoop.run_one_for(std::chrono::microseconds(60)) > 0) last = now();
            CPPUNIT_ASSERT_MESSAGE("stalled: no event for 8 s, or not done after 20 s",
                                   now() - last < 8 * kSecond && now() - began < 20 * kSecond);
        }
    }
    // Runs pods and clients for `time` while the proxy is paused.
    void pauseProxy(Nanos time);
    // Checks what every exchange must satisfy; called by awaitIdle().
    void checkInvariants() const;

    void release(const std::string& pod, const std::string& id);  // sends replies that await release
    void sendUnsolicited(const std::string& pod,
                         const std::string& bytes);  // on every open connection of the pod
    void listEndpoint(const std::string& pod, bool draining = false);
    void setLimits(int headerBytes, int bodyBytes);  // applies a new configuration
    int inFlight() const;                            // over all pods, as counted by routing

    const limits::MachineLimits machine = limits::MachineLimits::fromSettings(256, 4096);
    limits::MemoryBudget buffers{64 << 20};
    asio::io_context proxyLoop{1}, externalLoop{1};
    std::unique_ptr<routing::Router> router;
    std::unique_ptr<proxy::UpstreamClient> upstream;
    std::unique_ptr<proxy::HttpServer> httpServer;
    bool stateIsFresh = true;
    Script script;
    std::map<std::string, int> executions, arrivals;  // by request id
    std::map<std::string, int> connections, open;     // by pod: total, and currently open
    // Pods that reset a connection when a request arrives, without reading it.
    std::set<std::string> resettingPods;
    std::set<std::string> idempotent;  // ids that may be executed more than once

  private:
    Task<> serve(std::string pod);
    Task<> serveRequests(std::string pod, std::shared_ptr<tcp::socket> socket);
    Task<> readResponses(std::shared_ptr<Client> client);

    std::unique_ptr<tcp::acceptor> clientAcceptor_;
    std::map<std::string, std::unique_ptr<tcp::acceptor>> acceptors_;
    std::map<std::string, std::vector<std::weak_ptr<tcp::socket>>> sockets_;
    std::map<std::string, std::shared_ptr<AsyncEvent>> releaseEvents_;
    std::vector<std::shared_ptr<Client>> allClients_;
    config::BootstrapSettings boot_;
};

}  // namespace scripted
