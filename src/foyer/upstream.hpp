// Connections from a foyer to pods: kept ones by pod, and one call on one of them. Decides nothing; what an
// end means is for casting.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <map>

#include "casting/casting.hpp"
#include "wings/loop.hpp"

namespace lichenlanding::foyer {

namespace asio = boost::asio;

namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

struct Line {
    Line(asio::io_context& io, std::shared_ptr<casting::Actor> to) : socket(io), actor(std::move(to)) {
        ++actor->lines;
    }
    ~Line() { --actor->lines; }
    Line(const Line&) = delete;
    wings::tcp::socket socket;
    std::shared_ptr<casting::Actor> actor;
    wings::beast::flat_buffer buffer;
    Nanos idleSince = 0, idleFor = 0;
};

// One send of a request to one pod.
struct Attempt {
    std::shared_ptr<casting::Actor> actor;
    std::shared_ptr<Line> line;
    casting::End end = casting::End::unreached;
    Response response;
    bool done = false, connected = false, overdue = false;
    Nanos began = 0;

    // The host has no more time for it: ends it, as overdue (or as unreached where it never came up).
    void abort();
};

class Upstream {
  public:
    explicit Upstream(asio::io_context& io) : io_(io) {}

    // Sends `request` (its connection headers already off) and reads one whole answer. Fills the attempt.
    // `careful`: the request may not run twice, so no connection is used that the pod may just be closing.
    wings::Task<> call(std::shared_ptr<Attempt> attempt, std::shared_ptr<const Request> request,
                       Nanos deadline, bool careful, int linesAtMost);
    // Ends idle connections that the pod will soon end, and those to pods that are gone.
    void sweep(Nanos now);

  private:
    std::shared_ptr<Line> kept(const casting::Actor& actor, bool careful);
    void keep(const std::shared_ptr<casting::Actor>& actor, std::shared_ptr<Line> line);

    asio::io_context& io_;
    struct Place {
        std::shared_ptr<casting::Actor> actor;
        std::deque<std::shared_ptr<Line>> idle;  // the one used last behind
    };
    std::map<std::string, Place> places_;  // by pod
};

}  // namespace lichenlanding::foyer
