// The client's workflow as a machine that wants one thing at a time: it asks for a document, is given its
// bytes or told that there are none, and hands out what is to be stored before it goes on. It does no I/O;
// the command line, the sidecar and the tests drive the same object. Source: TUF 1.0, 5 (detailed
// workflow); 5.1 fixed time, 5.3 root chain, 5.3.11 rotated keys, 5.4 to 5.7.
//
//     Update update(set, kept, bounds);
//     update.search("releases/42");                 // any number, now or once an earlier search is over
//     while (update.next().kind == Update::NextAction::fetch)
//         ... fetch update.next().path; update.receive(bytes) or update.notFound(), then store
//         update.takeTransactions()
#pragma once

#include <deque>

#include "metadata/trusted_set.hpp"

namespace lichenlanding::metadata {

/// Metadata trusted before, by file name ("timestamp.json", a delegated role's quoted name): bytes, or none.
class StoredMetadata {
  public:
    virtual ~StoredMetadata() = default;
    virtual std::optional<std::string> read(const std::string& name) const = 0;
};

struct UpdateLimits {
    int roots = 256;       ///< new versions of root in one update
    int delegations = 64;  ///< roles visited in one search
};

/// To be made durable as one transaction each, in this order: files with their bytes; no bytes: the file
/// goes.
struct StoreTransaction {
    std::vector<std::pair<std::string, std::optional<std::string>>> files;
};

struct FoundTarget {
    std::string path, role;  ///< role: that lists it
    Target target;
    std::string location() const;  ///< where it lies under the target base of a consistent repository
};

class Update {
  public:
    struct NextAction {
        enum Kind { fetch, done, refused } kind = fetch;
        std::string path;          ///< under the metadata base
        std::size_t maxBytes = 0;  ///< bytes; more is refused as tooLong and need not be read
        std::string role;
    };

    Update(TrustedSet set, const StoredMetadata& stored, UpdateLimits limits = {});

    const NextAction& next() const { return next_; }
    void receive(std::string_view bytes);
    void notFound();          ///< the mirrors say that there is none
    void fail(Refusal why);   ///< none could be had
    void retry();             ///< requests again what was refused last: another mirror may have better
    void abort(Refusal why);  ///< ends it in any state
    std::vector<StoreTransaction> takeTransactions() { return std::exchange(transactions_, {}); }

    /// A search through the delegations: preorder, by priority, no role twice (5.6.7). Its result is in
    /// found() once nothing is to be fetched any more. A refusal in one ends this search and the update.
    void search(const std::string& path);
    const std::map<std::string, std::optional<FoundTarget>>& found() const { return found_; }

    const Refusal& refusal() const { return refusal_; }  ///< once next().kind is refused
    const TrustedSet& set() const { return set_; }
    bool consistent() const { return set_.root().consistent; }
    int visitedRoles() const { return visitedInAll_; }
    /// Whether the update has trusted another version of any role than before it.
    bool changed() const { return changed_; }

  private:
    enum class At { root, timestamp, snapshot, roles };
    struct Visit {
        std::string role, parent;
    };

    void request(std::string path, std::size_t maxBytes, const std::string& role);
    void requestRoot();
    void refuse(Refusal why);
    void startTimestamp();
    void startSnapshot();
    void startTargets();
    bool useStored(const std::string& role, const std::string& parent);
    void requestRole(const std::string& role);
    void continueSearch();
    std::string fileOf(const std::string& role, std::int64_t version) const;
    void storeFile(const std::string& name, std::string_view bytes);

    TrustedSet set_;
    const StoredMetadata& kept_;
    UpdateLimits limits_;
    At at_ = At::root;
    NextAction next_, refusedRequest_;  // refused_: what was wanted when a refusal came
    Refusal refusal_;
    std::vector<StoreTransaction> transactions_;
    int roots_ = 0, visitedInAll_ = 0;
    bool changed_ = false;
    Root before_;  // to see which roles' keys have been rotated

    std::deque<std::string> searches_;
    std::vector<Visit> open_;  // of the search at hand, the next at the end
    std::set<std::string> visited_;
    Visit visiting_;
    std::map<std::string, std::optional<FoundTarget>> found_;
};

}  // namespace lichenlanding::metadata
