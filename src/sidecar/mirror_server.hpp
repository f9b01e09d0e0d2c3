// This sidecar as a mirror for others: it serves what it has verified itself, and nothing else. A set goes
// into service whole, once an update is over, so that nobody is given half of one; the set before stays for
// those who are in the middle of theirs.
#pragma once

#include <list>
#include <map>

#include "sidecar/http_server.hpp"

namespace lichenlanding::net {

class Mirror {
  public:
    using Bytes = std::shared_ptr<const std::string>;
    using Set = std::map<std::string, Bytes>;  // by file name

    struct Figures {
        std::size_t connections = 64;
        std::size_t mostBytes = 32u << 20;  // of all that is held, connections' copies apart: there are none
    };

    Mirror(Loop& loop, const Address& listen, const Figures& figures);

    // A document that would go beyond the bound is left out, the largest first, and the log says so.
    void publish(Set documents);
    // A target's bytes, under the name they have in a consistent repository; the longest unused make room.
    void hold(const std::string& name, std::string bytes);
    bool holds(const std::string& name) const { return targets_.count(name) > 0; }

    void drain();  // readiness ends and each connection gets one answer more
    Address address() const { return front_.address(); }
    std::size_t served() const { return served_; }
    std::size_t bytesHeld() const { return documentBytes_ + targetBytes_; }

    static constexpr const char* metadataPath = "/metadata/";
    static constexpr const char* targetsPath = "/targets/";

  private:
    struct Held {
        Bytes bytes;
        std::list<std::string>::iterator used;
    };
    void took(std::unique_ptr<Caller> caller);
    Bytes find(const std::string& path);
    void makeRoom(std::size_t bytes);

    Figures figures_;
    Set now_, before_;
    std::map<std::string, Held> targets_;
    std::list<std::string> used_;  // the longest unused first
    std::size_t documentBytes_ = 0, targetBytes_ = 0, served_ = 0;
    bool draining_ = false;
    Front front_;
};

}  // namespace lichenlanding::net
