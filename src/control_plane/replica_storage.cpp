#include "control_plane/replica_storage.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <filesystem>

#include "control_plane/register_keys.hpp"
#include "limits/process_limits.hpp"
#include "membership/codec.hpp"
#include "transport/log.hpp"

namespace lichenlanding::control_plane {
namespace {

using namespace transport;
using membership::Json;
using storage::kDiskIdentityNote, storage::kEpochStateNote;

constexpr std::size_t kMaxQueuedJobs = 64;
constexpr double kStoreDiskShare = 0.6;  // the part of `disk_mb` that the store may use
constexpr Nanos kWriteRetryDelay = 100 * kMillisecond;

}  // namespace

ReplicaStorage::ReplicaStorage(asio::io_context& io, FoundingRules founding, Opener opener, Hooks hooks)
    : io_(io), founding_(std::move(founding)), opener_(std::move(opener)), hooks_(std::move(hooks)) {}

ReplicaStorage::~ReplicaStorage() { diskThread_.join(); }

ReplicaStorage::Opener ReplicaStorage::onDisk(const config::BootstrapSettings& boot) {
    const auto directory = boot.dataDir + "/promptbook";
    const auto machine = limits::MachineLimits::fromSettings(boot.memoryMegabytes, boot.maxDescriptors);
    const auto onDisk = static_cast<std::size_t>(std::max(boot.diskMegabytes, 16) * kStoreDiskShare) << 20;
    const auto bytes = std::min(onDisk, limits::controlPlaneLimits(machine).storeBytes);
    return [directory, bytes](bool replace) {
        if (replace) std::filesystem::remove_all(directory);
        std::filesystem::create_directories(directory);
        return std::make_unique<storage::LmdbReplicaStore>(directory, bytes);
    };
}

// ---- Disk identity. ----

void ReplicaStorage::load() {
    store_.reset();  // of an earlier attempt
    consensus::RegisterStates states;
    Notes notes;
    try {
        store_ = opener_(false);
        states = store_->states();
        for (const auto& name : kStoredNotes) notes[name] = store_->note(name);
    } catch (const storage::CorruptStoreError& error) {
        log("store_corrupt", {{"step", "open"}, {"error", error.what()}});
        store_.reset();
        store_ = opener_(true);
        notes.clear();
        states.clear();
    }
    auto stored = readIdentity(std::move(states), std::move(notes), founding_);
    isNew_ = stored.isNew;
    writes_ = stored.writes;
    witnessedWriteCounts_ = std::move(stored.witnessedWriteCounts);
    acceptor_ = consensus::Acceptor(founding_.address, stored.disk);
    acceptor_.apply(stored.update);
    log("store_opened", {{"disk", stored.disk},
                         {"epoch", acceptor_.epochState().epoch.number},
                         {"votes", acceptor_.isVotingMember()},
                         {"founding", stored.isFounder},
                         {"keys", acceptor_.states().size()}});
}

void ReplicaStorage::activate() {
    if (!isNew_) {
        open_ = true;
        confirmIdentity();
        return;
    }
    // The disk id, and a founder's first epoch, must be synced before any message is sent.
    Job job;
    job.update.epochState = acceptor_.epochState();
    job.notes[kDiskIdentityNote] = acceptor_.disk();
    job.onSynced = [this] {
        open_ = true;
        confirmed_ = true;
        hooks_.onIdentityCreated();
    };
    enqueue(std::move(job));
}

void ReplicaStorage::noteWriteCount(const std::string& disk, std::uint64_t writes) {
    auto& highest = witnessedWriteCounts_[disk];
    highest = std::max(highest, writes);
}

std::uint64_t ReplicaStorage::witnessedWriteCount(const std::string& disk) const {
    const auto it = witnessedWriteCounts_.find(disk);
    return it == witnessedWriteCounts_.end() ? 0 : it->second;
}

void ReplicaStorage::noteConfirmation(const std::string& address, const std::string& disk) {
    confirmations_[address] = disk;
    confirmIdentity();
}

void ReplicaStorage::confirmIdentity() {
    if (confirmed_ || !open_) return;
    // If a newer epoch is open, the members of the stored one may be lost for good, and requests of it are
    // not answered any more. The newest epoch's members must confirm then, if this disk is one of them.
    const auto& stored = acceptor_.epochState().epoch;
    const auto& openEpoch = hooks_.openEpoch();
    const auto& epoch = openEpoch.number > stored.number ? openEpoch : stored;
    const auto confirming =
        std::count_if(epoch.members.begin(), epoch.members.end(), [&](const auto& member) {
            if (member.address == founding_.address) return true;
            const auto it = confirmations_.find(member.address);
            return it != confirmations_.end() && (epoch.number == 0 || it->second == member.disk);
        });
    if (acceptor_.isMember(epoch) && static_cast<std::size_t>(confirming) < epoch.majority()) return;
    confirmed_ = true;
    if (!jobs_.empty() && !processing_) startQueue();
}

void ReplicaStorage::replaceIdentity(const char* reason) {
    log("disk_identity_replaced", {{"step", "identity"}, {"why", reason}, {"disk", acceptor_.disk()}});
    const auto epochState = acceptor_.epochState();
    const auto states = acceptor_.states();
    acceptor_ = consensus::Acceptor(founding_.address, generateDiskId());
    acceptor_.apply({{}, epochState});
    jobs_.clear();
    retainedKeys_.clear();
    confirmed_ = false;
    open_ = false;
    writes_ = 0;
    Job job;
    for (const auto& [key, _] : states) job.update.states[key] = {};
    job.update.epochState = epochState;
    job.notes[kDiskIdentityNote] = acceptor_.disk();
    job.onSynced = [this] {
        open_ = true;
        confirmed_ = true;
        hooks_.onIdentityReplaced();
    };
    enqueue(std::move(job));
}

// ---- Job queue: jobs run one at a time, and each is synced before its reply. ----

bool ReplicaStorage::isQueueFull() const { return jobs_.size() >= kMaxQueuedJobs; }

bool ReplicaStorage::acceptsRequests() const { return open_ && !isQueueFull(); }

void ReplicaStorage::submit(consensus::Request request, ReplyHandler onReply) {
    Job job;
    job.request = std::move(request);
    job.onReply = std::move(onReply);
    enqueue(std::move(job));
}

void ReplicaStorage::submitRetained(const std::string& key, std::optional<consensus::Request> accept) {
    if (!retainedKeys_.insert(key).second) return;
    Job job;
    job.retainedKey = key;
    job.request = std::move(accept);
    enqueue(std::move(job));
}

void ReplicaStorage::enqueue(Job job) {
    jobs_.push_back(std::move(job));
    if (processing_ || (open_ && !confirmed_)) return;
    startQueue();
}

void ReplicaStorage::startQueue() {
    processing_ = true;
    spawn(io_, "register copy", processQueue());
}

std::optional<consensus::Update> ReplicaStorage::evaluate(const Job& job, consensus::Reply& reply) {
    std::optional<consensus::Update> update;
    if (job.retainedKey) retainedKeys_.erase(*job.retainedKey);
    if (job.request) {
        // Rejects requests of an earlier epoch, even if the newer one is not on this disk yet.
        const auto openEpoch = hooks_.openEpoch().number;
        if (job.request->kind != consensus::Request::Kind::install && job.request->epoch < openEpoch) {
            reply.rejected = true;
            reply.epoch = openEpoch;
        } else {
            reply = acceptor_.evaluate(*job.request, update);
        }
    } else if (job.retainedKey) {
        if (auto states = hooks_.statesToRetain(*job.retainedKey))
            update = consensus::Update{std::move(*states), {}};
    } else {
        update = job.update;
    }
    return update;
}

void ReplicaStorage::applySynced(const Job& job, const consensus::Update& update) {
    acceptor_.apply(update);
    if (job.request) hooks_.onStatesSynced(update.states);
    if (update.epochState) hooks_.onEpochStateSynced();
}

Task<> ReplicaStorage::processQueue() {
    while (!jobs_.empty()) {
        auto job = std::move(jobs_.front());
        jobs_.pop_front();
        consensus::Reply reply;
        const auto update = evaluate(job, reply);
        if (update) {
            const auto disk = acceptor_.disk();
            const bool synced = co_await write(*update, job.notes);
            if (!synced) {
                // No reply, as if the machine were down. Keys to retain are submitted again by later checks.
                if (job.request || job.retainedKey) continue;
                jobs_.push_back(std::move(job));
                co_await sleep(kWriteRetryDelay);
                continue;
            }
            if (acceptor_.disk() != disk) continue;  // the id was replaced in the meantime
            applySynced(job, *update);
        }
        reply.writeCount = writes_;
        if (job.onReply) job.onReply(reply);
        if (job.onSynced) job.onSynced();
    }
    processing_ = false;
}

void ReplicaStorage::addBookkeeping(consensus::Update& update, Notes& notes) const {
    if (update.epochState) {
        notes[kEpochStateNote] = membership::encode(*update.epochState).dump();
        if (update.epochState->open)  // the acceptor drops older successor keys, so delete them here too
            for (const auto& [key, _] : acceptor_.states())
                if (consensus::isSuccessorKey(key) &&
                    key != consensus::successorKey(update.epochState->epoch))
                    update.states.emplace(key, consensus::RegisterState{});
    }
    notes[kWritesNote] = std::to_string(writes_ + 1);
    notes[kWitnessNote] = Json(witnessedWriteCounts_).dump();
}

Task<bool> ReplicaStorage::write(consensus::Update update, Notes notes) {
    addBookkeeping(update, notes);
    AsyncEvent progress(io_);
    std::string failure;
    bool completed = false;
    asio::post(diskThread_, [&] {
        try {
            if (!store_) store_ = opener_(false);
            store_->write(update.states, notes);
        } catch (const std::exception& error) {
            failure = error.what();
            store_.reset();  // LMDB stays unusable after some failures; the next write reopens it
        }
        asio::post(io_, [&] {
            completed = true;
            progress.notify();
        });
    });
    while (!completed) co_await progress.wait(now() + 3600 * kSecond);
    const bool synced = failure.empty();
    if (synced) ++writes_;
    else log("store_write_failed", {{"step", "write"}, {"error", failure}});
    co_return synced;
}

}  // namespace lichenlanding::control_plane
