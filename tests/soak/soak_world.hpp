// The environment of the gateway in a soak test, on one event loop: pods that take some time and record which
// requests they executed, and clients that reuse a connection until it ends. Both record into one ledger,
// keyed by request id. Some rules are checked at once, the others at the end.
#pragma once

#include <random>
#include <set>

#include "support/cluster_fixture.hpp"

namespace soak {

using namespace cluster;

// One request, as observed by its client and by the pods.
struct RequestRecord {
    std::string proxy;  ///< that the client sent it to; empty if no client sent it
    bool repeatable = false;
    int runs = 0;                      ///< number of executions by pods
    bool promisedNotExecuted = false;  ///< answered with a status that promises that it was not executed
    Nanos clientDisconnected = 0;      ///< when the client disconnected on purpose; 0 if it did not
    Nanos lastArrival = 0;             ///< when a pod last received it
    Nanos workEnded = 0;               ///< when the last pod stopped working on it; 0 if none has yet
};

struct Ledger {
    std::map<std::string, RequestRecord> requests;  // by request id
    std::map<std::string, std::vector<Nanos>>
        disturbances;  // by program: times of kills, suspensions and resumptions
    std::vector<std::string> violations;
    int answered = 0, refused = 0, failed = 0, cut = 0, left = 0;

    void violate(const std::string& rule, const std::string& what) {
        violations.push_back(rule + ": " + what);
    }
    // Whether `proxy` was neither killed nor suspended between kRecoveryTime before `from` and `until`.
    bool undisturbed(const std::string& proxy, Nanos from, Nanos until) const;
};

// Pods on loopback that take 1 to 25 ms for a request, or kLongWork if its path ends in "/long". A pod stops
// working on a request when the connection is closed.
class Pods {
  public:
    Pods(Cluster& cluster, Ledger& ledger, int count);

  private:
    Task<> accept(tcp::acceptor& acceptor);
    Task<> serve(tcp::socket socket);
    Task<bool> work(tcp::socket& socket, Nanos until);

    Cluster& cluster_;
    Ledger& ledger_;
    std::vector<std::unique_ptr<tcp::acceptor>> acceptors_;
    std::mt19937 random_{1};
};

// Clients that use one persistent connection each. Now and then one disconnects before the response.
class Clients {
  public:
    Clients(Cluster& cluster, Ledger& ledger, std::vector<std::string> proxies, std::uint32_t seed)
        : cluster_(cluster), ledger_(ledger), proxies_(std::move(proxies)), random_(seed) {}

    void start(int count);
    void stop() { stopping_ = true; }
    bool ended() const { return running_ == 0; }

  private:
    struct Exchange {
        bool reusable = false;  ///< the connection may carry another request
    };
    Task<> run(int number);
    Task<Exchange> exchange(tcp::socket& socket, beast::flat_buffer& buffer, const std::string& proxy,
                            const std::string& id);
    Task<> disconnectEarly(tcp::socket& socket, const std::string& proxy, const std::string& id);
    void checkResponse(const std::string& id, const http::response<http::string_body>& response);
    void checkDisconnect(const std::string& id, Nanos sent);

    Cluster& cluster_;
    Ledger& ledger_;
    std::vector<std::string> proxies_;
    std::mt19937 random_;
    std::uint64_t lastNumber_ = 0;
    int running_ = 0;
    bool stopping_ = false;
};

// Checks the rules that need the complete ledger: UNASKED (executed, but sent by no client), TWICE (a
// non-repeatable request executed more than once), REFUSED (executed despite a status that promises
// otherwise) and GONE (pods keep working after the client disconnected).
void checkLedger(Ledger& ledger);

}  // namespace soak
