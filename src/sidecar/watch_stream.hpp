// An answer that stays open and brings one line after another; opened again when it ends or falls silent.
#pragma once

#include "limits/fleet.hpp"
#include "sidecar/connection.hpp"

namespace lichenlanding::net {

class Stream {
  public:
    using Path = std::function<std::string()>;           // where to ask, at each opening
    using Each = std::function<bool(std::string_view)>;  // one line; false: it cannot be read, open anew

    // The first silence comes after `silence` without a byte; `reopening` spaces openings out.
    Stream(Loop& loop, const Address& address, Kind kind, Nanos connectWithin, Nanos silence,
           limits::Reopening reopening, Path path, Each each);

    void start(bool atOnce);            // else when `reopening` has it
    void move(const Address& address);  // opened there at once

  private:
    void open();
    void came(std::string_view bytes);
    void ended(const Return& back);
    void again(const char* why, Nanos retryAfter = 0);

    Loop& loop_;
    Address address_;
    Kind kind_;
    Nanos connectWithin_, silence_;
    limits::Reopening reopening_;
    Path path_;
    Each each_;
    Timer silent_, reopen_;
    std::shared_ptr<Connection> connection_;
    std::string partial_;
    bool up_ = false, told_ = true;  // told: the log knows how it stands
};

}  // namespace lichenlanding::net
