/// A replica's own copy of the register: the acceptor, and the disk that every change of it is synced to
/// before anybody is told.
///
/// Runs on the event loop's thread; the store itself is opened at the start there and written on one thread
/// of its own. Requests are evaluated one after the other: the next one begins when the disk has synced the
/// one before. The object outlives the event loop's run.
#pragma once

#include <boost/asio/thread_pool.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "config/bootstrap_settings.hpp"
#include "control_plane/disk_identity.hpp"
#include "storage/replica_store.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::control_plane {

using transport::Task;

class ReplicaStorage {
  public:
    /// Opens the store; with `replace`, what is there is damaged and is removed first. Throws StorageError.
    /// Called on the event loop's thread and on the disk's.
    using Opener = std::function<std::unique_ptr<storage::ReplicaStore>(bool replace)>;
    using ReplyHandler = std::function<void(const consensus::Reply&)>;

    /// What the storage asks of, and tells, the rest of the replica.
    struct Hooks {
        std::function<const consensus::Epoch&()> openEpoch;  ///< the newest that is known to be open
        /// What a non-member's disk is to hold of a key as of now; none: nothing more than it has.
        std::function<std::optional<consensus::RegisterStates>(const std::string& key)> statesToRetain;
        /// A request has changed these states; they are synced.
        std::function<void(const consensus::RegisterStates&)> onStatesSynced;
        std::function<void()> onEpochStateSynced;
        std::function<void()> onFirstOpened;  ///< a new disk's identity is synced
        std::function<void()> onRenewed;      ///< the identity that replaces another is synced
    };

    ReplicaStorage(transport::asio::io_context& io, FoundingRules founding, Opener opener, Hooks hooks);
    ~ReplicaStorage();  ///< waits for the write that the disk's thread is in

    /// A store in the settings' data_dir.
    static Opener onDisk(const config::BootstrapSettings& boot);

    /// Reads the store into the acceptor. A damaged store is replaced by an empty one: nothing is guessed.
    void load();
    /// Starts to answer requests; a new disk once its identity is synced.
    void activate();

    const consensus::Acceptor& acceptor() const { return acceptor_; }
    bool isOpen() const { return open_; }  ///< an identity is on the disk
    /// Nobody has seen a later state of this disk than it holds; until then no request is answered.
    bool isConfirmed() const { return confirmed_; }
    bool isVotingMember() const { return confirmed_ && acceptor_.isVotingMember(); }
    std::string announcedDisk() const { return open_ ? acceptor_.disk() : ""; }  ///< "" until it is open
    std::uint64_t writes() const { return writes_; }

    /// Whether another request may wait for the disk; where not, a request is dropped as on a machine that is
    /// down.
    bool acceptsRequests() const;
    bool isQueueFull() const;
    bool isWriting() const { return working_; }
    bool isIdle() const { return jobs_.empty() && !working_; }

    /// Evaluates a request. `onReply` is called when its update is synced, and never where that fails.
    void submit(consensus::Request request, ReplyHandler onReply = {});
    /// Writes what Hooks::statesToRetain gives for the key when its turn comes.
    void submitRetained(const std::string& key);

    /// Another replica has told how often a disk was written.
    void noteWrites(const std::string& disk, std::uint64_t writes);
    std::uint64_t witnessedWrites(const std::string& disk) const;  ///< the highest told; 0: none
    /// The replica at this address, on this disk, has seen no later state of the own disk.
    void noteConfirmation(const std::string& address, const std::string& disk);
    /// Confirms the own disk if a majority of its epoch has done so.
    void confirmIdentity();
    /// The disk holds less than others have seen of it: it goes on as another one, which never answered.
    void renewIdentity(const char* reason);

  private:
    /// One turn of the disk: a request to the acceptor, a key to retain, or an update as it is.
    struct Job {
        std::optional<consensus::Request> request;
        ReplyHandler onReply;
        std::optional<std::string> retainedKey;
        consensus::Update update;
        Notes notes;
        std::function<void()> onSynced;
    };
    void enqueue(Job job);
    void startQueue();
    std::optional<consensus::Update> evaluate(const Job& job, consensus::Reply& reply);
    void applySynced(const Job& job, const consensus::Update& update);
    Task<> processQueue();
    Task<bool> write(consensus::Update update, Notes notes);
    void addBookkeeping(consensus::Update& update, Notes& notes) const;

    transport::asio::io_context& io_;
    const FoundingRules founding_;
    Opener opener_;
    Hooks hooks_;
    consensus::Acceptor acceptor_;
    std::unique_ptr<storage::ReplicaStore> store_;  // the disk's thread's, while a write runs
    transport::asio::thread_pool diskThread_{1};
    std::deque<Job> jobs_;
    std::set<std::string> retainedKeys_;  // that wait in the queue
    bool working_ = false;                // processQueue runs
    bool open_ = false, confirmed_ = false, isNew_ = false;
    std::uint64_t writes_ = 0;
    std::map<std::string, std::uint64_t> witnessed_;    // by disk
    std::map<std::string, std::string> confirmations_;  // disk by address
};

}  // namespace lichenlanding::control_plane
