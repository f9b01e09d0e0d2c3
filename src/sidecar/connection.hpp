// One HTTP/1.1 connection of this sidecar to another party, carrying one call at a time. Nothing is ever sent
// a second time by itself.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "sidecar/call_result.hpp"
#include "sidecar/event_loop.hpp"
#include "sidecar/response_parser.hpp"

namespace lichenlanding::net {

struct Address {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const Address&) const = default;
    std::string text() const { return host + ":" + std::to_string(port); }
};

struct Call {
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

// How a call ended and what came back.
struct Return {
    Ending ending = Ending::calledOff;
    int code = 0;
    std::string body = {}, type = {};  // type: of the body, as its maker told
    std::string load = {};             // the pod's report, where the answer carries one
    Nanos retryAfter = 0;              // what a refusal advises; 0 if it does not
};

class Connection {
  public:
    using Done = std::function<void(Return)>;
    using Piece = Answer::Piece;

    Connection(Loop& loop, const Address& address, std::size_t longestBody);
    ~Connection() { letGo(); }

    // done is called once, from the loop, unless the connection is destroyed first. within 0: no limit. With
    // piece, the answer's body is given as it comes.
    void call(const Call& call, Nanos connectWithin, Nanos within, Done done, Piece piece = nullptr,
              Answer::Framing framing = Answer::Framing::told);
    void end(Ending why);  // closes it; a call that is out ends so
    void abandon();        // closes it; a call that is out is not told
    bool free() const { return alive_ && !done_; }
    const Address& address() const { return address_; }
    int code() const { return answer_.code; }  // of the answer that is coming in
    void onClose(std::function<void()> closed) { closed_ = std::move(closed); }  // the other side, when idle

    // Whether it can carry another call: nothing unasked has come, not even unread, and it has not ended.
    bool quiet() const;

  private:
    bool connect();
    void came();
    void happened(short what);
    void finish(Return result);
    void letGo();

    Loop& loop_;
    Address address_;
    std::size_t longestBody_;
    Owned<bufferevent> stream_;
    Timer connectTimer_, timer_;
    Answer answer_;
    Done done_;
    std::function<void()> closed_;
    std::shared_ptr<char> here_ = std::make_shared<char>();  // for what is called later
    bool alive_ = true, connected_ = false;
};

// The address in "127.0.0.1:7070"; throws std::invalid_argument if it is none.
Address readAddress(std::string_view text);

}  // namespace lichenlanding::net
