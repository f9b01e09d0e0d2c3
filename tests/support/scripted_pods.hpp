// A proxy's HTTP server between scripted pods and clients, on loopback: the proxy on a loop of its own, so
// that it can stand still while the others go on. Pods count what they run; `checkInvariants()` holds what
// every exchange must keep. Nothing sleeps for a result: both loops are driven until it is there, and a stall
// fails the test.
#pragma once

#include <functional>
#include <set>

#include "proxy/http_server.hpp"
#include "support/transcript.hpp"

namespace scripted {

using namespace lichenlanding;
using namespace lichenlanding::transport;

// What a pod does with one request.
struct Reply {
    std::string bytes;  // {id} stands for the request's
    enum After { keep, close, reset, silent } after = keep;
    bool runs = true;
    bool held = false;       // until release()
    std::string later = {};  // follows the bytes after release()
};

struct Arrival {
    std::string pod, id;
    int number = 1;  // of this id, over all pods
};
using Script = std::function<Reply(const Arrival&)>;

// An answer in the bytes that a client got.
struct Answer {
    int status = 0;
    std::string id, body, retryAfter;
    bool close = false, whole = false;
};

struct Client {
    explicit Client(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::string got;
    bool ended = false;
    std::vector<std::string> asked;       // ids, in order
    std::vector<Answer> answers() const;  // the last may not be whole
};

std::string ok(const std::string& id = "{id}", const std::string& more = "");  // with a length
std::string chunks();                                                          // in chunks
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
    // Until the client has as many whole answers, or its connection ends.
    void awaitAnswers(const std::shared_ptr<Client>& client, std::size_t answers = 1);
    // One request on a connection of its own, to its answer, and until all is quiet.
    Answer roundTrip(const std::string& bytes, const std::string& id);
    // Until no attempt is in flight and no pod has a word left to say.
    void awaitQuiet();
    template <typename Done>
    void until(Done done) {
        const Nanos began = now();
        for (Nanos last = began; !done();) {
            const auto turns = proxyLoop.poll() + worldLoop.poll();
            if (turns > 0 || proxyLoop.run_one_for(std::chrono::microseconds(60)) > 0) last = now();
            CPPUNIT_ASSERT_MESSAGE("nothing happens any more",
                                   now() - last < 8 * kSecond && now() - began < 20 * kSecond);
        }
    }
    // The proxy stands still; pods and clients don't.
    void standStill(Nanos time);
    // What every exchange must keep; called by awaitQuiet().
    void checkInvariants() const;

    void release(const std::string& pod, const std::string& id);         // held replies to it
    void sendUnasked(const std::string& pod, const std::string& bytes);  // on each of its open connections
    void listEndpoint(const std::string& pod, bool draining = false);
    void setLimits(int headerBytes, int bodyBytes);  // a newer configuration
    int inFlight() const;                            // over all pods, as routing counts

    asio::io_context proxyLoop{1}, worldLoop{1};
    std::unique_ptr<routing::Router> router;
    std::unique_ptr<proxy::UpstreamClient> upstream;
    std::unique_ptr<proxy::HttpServer> httpServer;
    bool awake = true;
    Script script;
    std::map<std::string, int> runs, arrivals;     // by id
    std::map<std::string, int> connections, open;  // by pod: in all, and now
    std::set<std::string> forgetful;   // pods that reset a connection where a request comes, unread
    std::set<std::string> repeatable;  // ids that may run more than once

  private:
    Task<> serve(std::string pod);
    Task<> answerRequests(std::string pod, std::shared_ptr<tcp::socket> socket);
    Task<> readAnswers(std::shared_ptr<Client> client);

    std::unique_ptr<tcp::acceptor> clientAcceptor_;
    std::map<std::string, std::unique_ptr<tcp::acceptor>> acceptors_;
    std::map<std::string, std::vector<std::weak_ptr<tcp::socket>>> sockets_;
    std::map<std::string, std::shared_ptr<AsyncEvent>> held_;
    std::vector<std::shared_ptr<Client>> allClients_;
    config::BootstrapSettings boot_;
};

}  // namespace scripted
