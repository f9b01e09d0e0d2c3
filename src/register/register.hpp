// One value for each key on a majority of disks: written to a majority, read from a majority, the highest
// ballot wins. No log, no leader. docs/design/register.md tells why it holds.
//
// Pure: no clock, no chance, no I/O. The host moves messages (any may be lost, doubled, late or out of order)
// and keeps cells on disk. Invariants, each checked by the explorer in tests/register:
//   - Lasting: what a Write or a Read has ended with is what every later one ends with or builds on;
//   - OneBody: a ballot has one value for good;
//   - NoBlank: a copy whose disk was lost is counted nowhere until it has rejoined.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lichenlanding::reg {

// Rounds rise; a writer's number (unlike any other's) tells two of one round apart. Round 0: none.
struct Ballot {
    std::uint64_t round = 0;
    std::uint32_t writer = 0;
    auto operator<=>(const Ballot&) const = default;
};

// What one disk holds of one key.
struct Cell {
    Ballot promised, accepted;
    std::string value;
    bool operator==(const Cell&) const = default;
};

struct Request {
    enum class Kind : std::uint8_t { look, prepare, accept };
    Kind kind = Kind::look;
    std::string key;
    Ballot ballot;
    std::string value;
    Ballot held;  // of a value that the asker has: an equal one need not be told again
};

// The cell as it is after the request; `taken` is false where a higher promise stood against it. A blank copy
// answers `blank`, and is no part of any majority.
struct Reply {
    bool blank = false, taken = false;
    Cell cell;
    bool spared = false;  // the cell's value is the asker's own, and left out
};

// One disk's copy. The host asks what a request would change, has the disk sync it, and only then puts it and
// sends the reply: nothing is told that a loss of power could take back.
class Copy {
  public:
    // A copy that starts blank says so until rejoined.
    explicit Copy(bool blank) : blank_(blank) {}

    bool blank() const { return blank_; }
    // The reply; `change` is set where the cell must be on disk before it is sent.
    Reply weigh(const Request& request, std::optional<Cell>& change) const;
    void put(const std::string& key, Cell cell) { cells_[key] = std::move(cell); }
    const std::map<std::string, Cell>& cells() const { return cells_; }
    const Cell& cell(const std::string& key) const;

    // What a blank copy takes from the others' cells; it is to be put (on disk first) and counts after
    // filled().
    static void highest(std::map<std::string, Cell>& into, const std::map<std::string, Cell>& from);
    void filled() { blank_ = false; }

  private:
    std::map<std::string, Cell> cells_;
    bool blank_;
};

// From what is in force to what shall be; the same value: nothing to change, but let it be surely in force.
using Change = std::function<std::string(const std::string&)>;

// One run at a key: a look (which ends at once where a majority agrees), else prepare and accept. The
// host sends request() to all members whenever the step has moved, and hands in replies with the step they
// answer; a reply of an earlier step is dropped. On `lost` it waits a little and begins anew with `above()`.
class Run {
  public:
    enum class Step : std::uint8_t { look, prepare, accept, done, lost };

    // `held`: a value that the host knows with its ballot, if any, so that copies need not send it.
    Run(std::string key, std::size_t members, std::uint32_t writer, std::uint64_t above, Change change,
        bool lookFirst, Cell held = {});

    Step step() const { return step_; }
    Request request() const;
    // True where the step has moved.
    bool on(std::uint32_t member, Step answered, const Reply& reply);

    const std::string& value() const { return value_; }  // when done
    Ballot ballot() const { return ballot_; }            // of the value, when done
    std::uint64_t above() const { return above_; }       // highest round seen

  private:
    void move(Step step);

    std::string key_;
    std::size_t members_;
    std::uint32_t writer_;
    std::uint64_t above_;
    Change change_;
    Step step_;
    Ballot ballot_;
    std::string value_;
    Cell held_, best_;
    std::set<std::uint32_t> heard_, taken_;
    std::optional<Cell> agreed_;
    bool agree_ = true;
};

}  // namespace lichenlanding::reg
