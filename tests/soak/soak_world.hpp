// What surrounds the gateway in a soak, in one thread of its own loop: pods that take their time and remember
// what they ran, and clients that keep using a connection until it ends. Both write into one ledger, by the
// id of the request; the rules are read off it at the end.
#pragma once

#include <random>
#include <set>

#include "support/cluster_fixture.hpp"

namespace soak {

using namespace cluster;

// One request of a client, as its client and the pods saw it.
struct RequestRecord {
    std::string proxy;
    bool repeatable = false;
    int runs = 0;           // at pods
    bool promised = false;  // answered with a status that promises that it never ran
    Nanos clientLeft = 0;   // its client left on purpose; 0: it did not
    Nanos lastArrival = 0;  // at a pod
    Nanos workedUntil = 0;  // by the pod that was at it longest; 0: one still is, or none was
};

struct Ledger {
    std::map<std::string, RequestRecord> requests;           // by id
    std::map<std::string, std::vector<Nanos>> disturbances;  // by proxy: kills, freezes and their ends
    std::vector<std::string> violations;
    int answered = 0, refused = 0, failed = 0, cut = 0, left = 0;

    void violate(const std::string& rule, const std::string& what) {
        violations.push_back(rule + ": " + what);
    }
    // Whether `proxy` was neither killed nor frozen from kContact before `from` until `until`.
    bool undisturbed(const std::string& proxy, Nanos from, Nanos until) const;
};

// Pods on loopback that take a few milliseconds for each request; those of a "long" path take as long as they
// are let. A pod whose connection ends stops working.
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
    std::mt19937 chance_{1};
};

// Clients that hold one connection each for as long as it lasts, and some that leave before their answer.
class Clients {
  public:
    Clients(Cluster& cluster, Ledger& ledger, std::vector<std::string> proxies, std::uint32_t seed)
        : cluster_(cluster), ledger_(ledger), proxies_(std::move(proxies)), chance_(seed) {}

    void start(int count);
    void stop() { stopping_ = true; }
    bool ended() const { return running_ == 0; }

  private:
    struct Exchange {
        bool goesOn = false;  // another request may follow on the connection
    };
    Task<> run(int number);
    Task<Exchange> exchange(tcp::socket& socket, beast::flat_buffer& buffer, const std::string& proxy,
                            const std::string& id);
    Task<> leaveEarly(tcp::socket& socket, const std::string& proxy, const std::string& id);
    void judgeAnswer(const std::string& id, const http::response<http::string_body>& response);
    void judgeCut(const std::string& id, Nanos sent);

    Cluster& cluster_;
    Ledger& ledger_;
    std::vector<std::string> proxies_;
    std::mt19937 chance_;
    std::uint64_t lastNumber_ = 0;
    int running_ = 0;
    bool stopping_ = false;
};

// What can be said only once all is over: TWICE, REFUSED, GONE.
void judgeLedger(Ledger& ledger);

}  // namespace soak
