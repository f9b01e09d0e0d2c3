// One GET of a document by its URL, over a connection of its own: bounded in bytes and in time, never sent a
// second time by itself.
#pragma once

#include "sidecar/connection.hpp"

namespace lichenlanding::net {

struct Url {
    Address address;
    std::string path;  // begins with '/'

    std::string text() const { return "http://" + address.text() + path; }
    Url below(const std::string& name) const;  // one '/' between them
};

// "http://127.0.0.1:8001/metadata". Only http, an IPv4 address or "localhost": names are not looked up.
// Throws std::invalid_argument.
Url readUrl(std::string_view text);

struct Fetched {
    Ending ending = Ending::calledOff;
    int code = 0;
    std::string body;
    bool tooLong = false;  // more than was allowed came; the rest was not read
    Nanos retryAfter = 0;  // what a 429 or 503 asked for, at most an hour; 0 if it did not
};

class Fetch {
  public:
    using Done = std::function<void(Fetched)>;

    // done is called once, from the loop, unless this is destroyed first. `within`: for the whole answer.
    Fetch(Loop& loop, const Url& url, std::size_t atMost, Nanos connectWithin, Nanos within, Done done);
    ~Fetch();
    Fetch(const Fetch&) = delete;

  private:
    Loop& loop_;
    std::shared_ptr<Connection> connection_;
    std::string body_;
    bool tooLong_ = false;
    Done done_;
};

}  // namespace lichenlanding::net
