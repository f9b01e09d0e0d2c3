/// A replica's own copy of the register: the acceptor, and the disk to which each of its changes is synced
/// before a reply is sent.
///
/// Runs on the event loop's thread, which opens the store at the start; writes run on a thread of their own.
/// Requests are evaluated one at a time: the next one begins when the update of the previous one is synced.
/// The object must outlive the run of the event loop.
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
    /// Opens the store. With `replace`, an existing store is corrupt and is deleted first. Throws
    /// StorageError or another std::exception. Called on the event loop's thread and on the disk thread.
    using Opener = std::function<std::unique_ptr<storage::ReplicaStore>(bool replace)>;
    using ReplyHandler = std::function<void(const consensus::Reply&)>;

    /// Queries and notifications to the rest of the replica.
    struct Hooks {
        std::function<const consensus::Epoch&()> openEpoch;  ///< the newest epoch known to be open
        /// The state of a key that a non-member's disk should store; null if it is up to date.
        std::function<std::optional<consensus::RegisterStates>(const std::string& key)> statesToRetain;
        /// Called when the states that a request has changed are synced.
        std::function<void(const consensus::RegisterStates&)> onStatesSynced;
        std::function<void()> onEpochStateSynced;
        std::function<void()> onIdentityCreated;   ///< the id of a new disk is synced
        std::function<void()> onIdentityReplaced;  ///< the id that replaces another one is synced
    };

    ReplicaStorage(transport::asio::io_context& io, FoundingRules founding, Opener opener, Hooks hooks);
    ~ReplicaStorage();  ///< waits for the write in progress

    /// Opens a store in the setting `data_dir`.
    static Opener onDisk(const config::BootstrapSettings& boot);

    /// Reads the store into the acceptor. A corrupt store is replaced by an empty one; nothing is recovered
    /// from it. Throws what Opener throws; the store is kept then, and load() may be called again.
    void load();
    /// Starts to answer requests; on a new disk, once its id is synced.
    void activate();

    const consensus::Acceptor& acceptor() const { return acceptor_; }
    bool isOpen() const { return open_; }  ///< the disk id is synced
    /// Whether a majority of the epoch's members has confirmed that no newer state of this disk was seen, as
    /// there would be after a restore from an old image. Until then no request is answered.
    bool isConfirmed() const { return confirmed_; }
    bool isVotingMember() const { return confirmed_ && acceptor_.isVotingMember(); }
    std::string announcedDisk() const { return open_ ? acceptor_.disk() : ""; }  ///< "" until it is open
    std::uint64_t writes() const { return writes_; }

    /// Whether another request may be queued. If not, requests are dropped without a reply, as if the machine
    /// were down.
    bool acceptsRequests() const;
    bool isQueueFull() const;
    bool isIdle() const { return jobs_.empty() && !processing_; }

    /// Evaluates a request. `onReply` is called when its update is synced, and never if that fails.
    void submit(consensus::Request request, ReplyHandler onReply = {});
    /// Queues a write of a known value, unless one of the key is in the queue already: of a member the
    /// request `accept`, of a non-member what Hooks::statesToRetain returns at that time.
    void submitRetained(const std::string& key, std::optional<consensus::Request> accept);

    /// Records another replica's report of a disk's write count.
    void noteWriteCount(const std::string& disk, std::uint64_t writes);
    std::uint64_t witnessedWriteCount(const std::string& disk) const;  ///< the highest reported; 0: none
    /// The replica at this address, on this disk, has seen no newer state of the own disk.
    void noteConfirmation(const std::string& address, const std::string& disk);
    /// Marks the own disk as confirmed once a majority of its epoch has confirmed it.
    void confirmIdentity();
    /// Gives the disk a new id, because it has lost writes that peers have seen. Under the new id it has
    /// never answered a request.
    void replaceIdentity(const char* reason);

  private:
    /// A queue entry: a request to the acceptor, a key to retain (by a request, if there is one), or an
    /// unconditional update.
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
    std::unique_ptr<storage::ReplicaStore> store_;  // used by the disk thread only while a write runs
    transport::asio::thread_pool diskThread_{1};
    std::deque<Job> jobs_;
    std::set<std::string> retainedKeys_;  // in the queue
    bool processing_ = false;             // processQueue is running
    bool open_ = false, confirmed_ = false, isNew_ = false;
    std::uint64_t writes_ = 0;
    std::map<std::string, std::uint64_t> witnessedWriteCounts_;  // highest count seen, by disk id
    std::map<std::string, std::string> confirmations_;           // disk id of the confirming peer, by address
};

}  // namespace lichenlanding::control_plane
