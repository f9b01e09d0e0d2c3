// The TUF client workflow as a state machine without I/O: it requests one document at a time, receives its
// bytes or that it does not exist, and returns what must be stored before the next request. The command line,
// the sidecar and the tests use the same class. Source: TUF 1.0, 5 (detailed workflow); 5.1 fixed time,
// 5.3 root chain, 5.3.11 rotated keys, 5.4 to 5.7.
//
//     Update update(set, stored, limits);
//     update.search("releases/42");                 // any number, before or after the update is done
//     while (update.next().kind == Update::NextAction::fetch)
//         ... fetch update.next().path; update.receive(bytes) or update.notFound(), then store
//         update.takeTransactions()
#pragma once

#include <deque>

#include "metadata/trusted_set.hpp"

namespace lichenlanding::metadata {

/// Metadata trusted before, by file name ("timestamp.json"; percent-encoded for delegated roles).
class StoredMetadata {
  public:
    virtual ~StoredMetadata() = default;
    virtual std::optional<std::string> read(const std::string& name) const = 0;
};

struct UpdateLimits {
    int roots = 256;       ///< new versions of root in one update
    int delegations = 64;  ///< roles visited in one search
};

/// Files to store durably in one transaction, with their content; a file without content is removed.
struct StoreTransaction {
    std::vector<std::pair<std::string, std::optional<std::string>>> files;
};

/// Result of a search.
struct FoundTarget {
    std::string path, role;  ///< role: the one that lists the target
    Target target;
    std::string location() const;  ///< path under the target base URL of a consistent repository
};

class Update {
  public:
    /// What the caller has to do: fetch a document, or nothing because the update is done or refused.
    struct NextAction {
        enum Kind { fetch, done, refused } kind = fetch;
        std::string path;          ///< under the metadata base URL
        std::size_t maxBytes = 0;  ///< longer documents are refused as tooLong; the rest need not be read
        std::string role;
    };

    Update(TrustedSet set, const StoredMetadata& stored, UpdateLimits limits = {});

    const NextAction& next() const { return next_; }
    void receive(std::string_view bytes);
    void notFound();              ///< the mirrors do not have the requested document
    void fail(Refusal refusal);   ///< the requested document could not be fetched
    void retry();                 ///< requests the refused document again, e.g. from another mirror
    void abort(Refusal refusal);  ///< ends the update in any state
    /// Removes and returns the pending transactions, to be stored in this order.
    std::vector<StoreTransaction> takeTransactions() { return std::exchange(transactions_, {}); }

    /// Searches the delegations for a target: preorder, by priority, each role once (5.6.7). The result is in
    /// found() once next().kind is done. A refusal ends the search and the update.
    void search(const std::string& path);
    const std::map<std::string, std::optional<FoundTarget>>& found() const { return found_; }

    const Refusal& refusal() const { return refusal_; }  ///< valid if next().kind is refused
    const TrustedSet& set() const { return set_; }
    bool consistent() const { return set_.root().consistent; }
    /// Number of delegated roles visited in all searches.
    int visitedRoles() const { return totalVisits_; }
    /// Whether the update has trusted a new version of any role.
    bool changed() const { return changed_; }

  private:
    enum class State { root, timestamp, snapshot, roles };
    struct Visit {
        std::string role, parent;
    };

    void request(std::string path, std::size_t maxBytes, const std::string& role);
    void requestRoot();
    void refuse(Refusal refusal);
    void startTimestamp();
    void startSnapshot();
    void startTargets();
    bool useStored(const std::string& role, const std::string& parent);
    void requestRole(const std::string& role);
    void continueSearch();
    std::string fileOf(const std::string& role, std::int64_t version) const;
    void storeFile(const std::string& name, std::string_view bytes);

    TrustedSet set_;
    const StoredMetadata& stored_;
    UpdateLimits limits_;
    State state_ = State::root;
    NextAction next_, refusedRequest_;  // refusedRequest_: next_ at the time of the refusal
    Refusal refusal_;
    std::vector<StoreTransaction> transactions_;
    int newRoots_ = 0, totalVisits_ = 0;
    bool changed_ = false;
    Root initialRoot_;  // to detect roles whose keys have been rotated

    std::deque<std::string> searches_;
    std::vector<Visit> pendingVisits_;  // of the current search; the last element is visited next
    std::set<std::string> visited_;     // roles visited in the current search
    Visit visiting_;                    // the role being fetched or examined
    std::map<std::string, std::optional<FoundTarget>> found_;
};

}  // namespace lichenlanding::metadata
