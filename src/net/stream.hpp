// An answer that stays open and brings one line after another; opened again when it ends or falls silent.
#pragma once

#include <random>

#include "net/connection.hpp"

namespace lichenlanding::net {

class Stream {
  public:
    using Path = std::function<std::string()>;           // where to ask, at each opening
    using Each = std::function<bool(std::string_view)>;  // one line; false: it cannot be read, open anew

    // The first silence comes after `silence` without a byte; openings are spaced out, up to that long.
    Stream(Loop& loop, const Address& address, Kind kind, Nanos connectWithin, Nanos silence,
           std::uint32_t seed, Path path, Each each);

    void open();
    void move(const Address& address);  // opened there at once

  private:
    void came(std::string_view bytes);
    void ended(const Return& back);
    void again(const char* why);

    Loop& loop_;
    Address address_;
    Kind kind_;
    Nanos connectWithin_, silence_, wait_;
    std::mt19937 chance_;
    Path path_;
    Each each_;
    Timer silent_, reopen_;
    std::shared_ptr<Connection> connection_;
    std::string partial_;
    bool up_ = false, told_ = true;  // told: the log knows how it stands
};

}  // namespace lichenlanding::net
