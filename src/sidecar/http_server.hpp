// The side that clients see: an evhttp server, and one Caller for each request that has come in whole. Each
// connection is followed from its first byte or silence on, so that no client can hold more than its part.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "sidecar/connection.hpp"

namespace lichenlanding::net {

class Front;

// One client's request and the one answer to it. Destroyed unanswered, it answers 500.
class Caller {
  public:
    Caller(Front& front, evhttp_request* request);
    ~Caller();
    Caller(const Caller&) = delete;

    std::optional<std::string> header(const char* name) const;
    evhttp_cmd_type method() const { return evhttp_request_get_command(request_); }
    std::string path() const { return evhttp_request_get_uri(request_); }  // with its query
    const std::string& body() const { return body_; }
    void onGone(std::function<void()> gone) { gone_ = std::move(gone); }  // the client left before its answer

    // Sent at once; what comes after the first answer is dropped. retryAfter 0: no advice.
    void answer(int code, const std::string& body = {}, const std::string& type = {}, Nanos retryAfter = 0);
    // A large body, which is not copied but held until it has been written.
    void answer(int code, std::shared_ptr<const std::string> body, const std::string& type);
    void refuse(int code);  // the same, and the connection ends: what follows on it cannot be trusted

  private:
    friend class Front;
    bool begin(const std::string& type, Nanos retryAfter);  // false: it is answered already
    void left();

    Front& front_;
    evhttp_request* request_;  // evhttp's until it is answered
    evhttp_connection* connection_;
    std::string body_;
    std::function<void()> gone_;
    bool answered_ = false, last_ = false;
};

class Front {
  public:
    using Took = std::function<void(std::unique_ptr<Caller>)>;

    // Throws if it cannot listen. Requests for readiness are answered here.
    // Beyond the first number of connections a new one makes room if it can, beyond the second it must.
    Front(Loop& loop, const Address& listen, std::size_t connectionsAtEase, std::size_t connectionsAtMost,
          Took took, std::function<bool()> ready);
    ~Front();

    void closeAfterAnswers();  // each connection gets one answer more, and idle ones are closed
    bool anyWaiting() const;   // a connection that nobody has accepted yet
    Address address() const;
    std::size_t open() const { return clients_.size(); }

  private:
    friend class Caller;
    struct Client {
        Front& front;
        evhttp_connection* connection;
        Nanos since;               // when it began what it does now: to be silent, to send, to idle
        Caller* caller = nullptr;  // whose request is on it now
        bool reading = false;      // part of a next request may have come
        bool silent = true;        // nothing has ever come
    };
    using Clients = std::list<Client>;

    void joined(bufferevent* stream);
    void answered(Client& client);  // and awaited again
    void request(evhttp_request* request);
    static bool readable(evhttp_request* request);
    Clients::iterator held(evhttp_connection* connection);
    void marks(Client& client);  // that it does another thing from now on
    void watchForLeaving(Client& client);
    void gone(Client& client);
    static void came(evbuffer* input, const evbuffer_cb_info* info, void* client);
    bool idle(const Client& client) const;
    bool makeRoom();
    void look();

    Loop& loop_;
    Took took_;
    std::function<bool()> ready_;
    std::size_t ease_, most_;
    bool closing_ = false;
    Owned<evhttp> server_;
    evconnlistener* listener_ = nullptr;  // the server's
    Timer look_;
    Clients clients_;  // the one that has done the same for longest first
    std::unordered_map<evhttp_connection*, Clients::iterator> found_;  // looked up, never walked
};

}  // namespace lichenlanding::net
