#include "control_plane/replica_node.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <filesystem>

#include "hashing/rendezvous.hpp"
#include "messages/codec.hpp"
#include "transport/log.hpp"

namespace lichenlanding::control_plane {
namespace {

using namespace transport;

constexpr Nanos kRunWithin = 450 * kMillisecond;    // one run at a key; then anew
constexpr Nanos kUnlearntFor = 200 * kMillisecond;  // an accepted value whose writer has not told its end
constexpr int kLooksAgain = 3;                      // of a read that meets a write on its way
constexpr Nanos kPauseFirst = 30 * kMillisecond,
                kPauseMost = 250 * kMillisecond;  // between two runs, at most so long
constexpr Nanos kMaintainEvery = 50 * kMillisecond;
constexpr Nanos kPingEvery = 300 * kMillisecond;
constexpr Nanos kPlanEvery =
    150 * kMillisecond;  // the members, while nothing is pending: it costs most of a calm look
constexpr Nanos kFoundPatience =
    2000 * kMillisecond;                         // for as many machines as bear all, before fewer found it
constexpr Nanos kDeferFor = 400 * kMillisecond;  // to the one whose turn it is to change the members
constexpr Nanos kStandsByFor = 1000 * kMillisecond;   // without a word, one that stands by is not counted on
constexpr Nanos kChangeWithin = 1500 * kMillisecond;  // a change of the members, on the way
constexpr Nanos kAskAgain = 150 * kMillisecond;
constexpr std::size_t kJobsAtMost = 64;  // that wait for the disk
constexpr double kBookPart = 0.6;        // of the disk that the book may take
using storage::kDiskNote, storage::kStandingNote, storage::kOldMembersNote;
const std::string kWritesNote = "writes", kWitnessNote = "witness";
const consensus::Change kAsItIs = [](const std::string& value) { return value; };

Json aboutStep(consensus::Proposal::Step step) { return Json::array({static_cast<int>(step)}); }

std::string newDisk() {
    std::random_device chance;
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", chance(), chance());
    return text;
}

}  // namespace

// A run at a key, or a change of the members.
struct ReplicaNode::Pending {
    Pending(consensus::Proposal run_, consensus::Epoch epoch_, asio::io_context& io)
        : run(std::move(run_)), epoch(std::move(epoch_)), bell(io) {}
    Pending(consensus::Reconfiguration succession_, asio::io_context& io)
        : succession(std::move(succession_)), bell(io) {}
    const consensus::Epoch& asked() const { return succession ? succession->asked() : epoch; }
    std::optional<consensus::Proposal> run;
    std::optional<consensus::Reconfiguration> succession;
    consensus::Epoch epoch;
    AsyncEvent bell;
};

ReplicaNode::ReplicaNode(asio::io_context& io, const config::BootstrapSettings& boot, Owner owner,
                         Opener opener)
    : io_(io),
      boot_(boot),
      owner_(std::move(owner)),
      me_(boot.peerAddress(boot.ip)),
      opener_(std::move(opener)),
      contactSince_(now()),
      began_(now()) {
    for (const auto& seed : boot.seeds) seeds_.push_back(boot.peerAddress(hostOf(seed)));
    std::sort(seeds_.begin(), seeds_.end());
    seeds_.erase(std::unique(seeds_.begin(), seeds_.end()), seeds_.end());
}

ReplicaNode::Opener ReplicaNode::onDisk(const config::BootstrapSettings& boot) {
    const auto folder = boot.dataDir + "/promptbook";
    const auto bytes = static_cast<std::size_t>(std::max(boot.diskMegabytes, 16) * kBookPart) << 20;
    return [folder, bytes](bool anew) {
        if (anew) std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        return std::make_unique<storage::LmdbReplicaStore>(folder, bytes);
    };
}

ReplicaNode::~ReplicaNode() { disk_.join(); }

std::uint32_t ReplicaNode::number(const std::string& address) const {
    return static_cast<std::uint32_t>(hashing::hash("member", address));
}

consensus::Member ReplicaNode::self() const { return {me_, copy_.disk(), boot_.zone, boot_.region}; }

std::set<std::string> ReplicaNode::members() const {
    std::set<std::string> all;
    for (const auto& member : epoch_.members) all.insert(member.address);
    return all;
}

consensus::RegisterState ReplicaNode::held(const std::string& key) const {
    const auto& known = this->known(key);
    return {known.proposalNumber, known.proposalNumber, known.value};
}

// ---- The disk, and which one it is. ----

void ReplicaNode::open() {
    consensus::RegisterStates cells;
    std::map<std::string, std::string> notes;
    try {
        book_ = opener_(false);
        cells = book_->states();
        for (const auto& name : {kDiskNote, kStandingNote, kWritesNote, kWitnessNote, kOldMembersNote})
            notes[name] = book_->note(name);
    } catch (const storage::StorageError& damaged) {
        // Nothing is guessed from a damaged book: it is put aside, and this is a new disk.
        log("book_damaged", {{"step", "open"}, {"error", damaged.what()}});
        book_.reset();
        book_ = opener_(true);
        notes.clear(), cells.clear();
    }
    consensus::Update update;
    update.cells = std::move(cells);
    std::string disk = notes[kDiskNote];
    bool founding = false;
    if (!disk.empty()) {
        if (!notes[kStandingNote].empty())
            update.standing = membership::decodeEpochState(Json::parse(notes[kStandingNote]));
        if (!notes[kWritesNote].empty()) writes_ = std::stoull(notes[kWritesNote]);
        if (!notes[kWitnessNote].empty())
            witnessed_ = Json::parse(notes[kWitnessNote]).get<std::map<std::string, std::uint64_t>>();
    } else if (const auto& old = notes[kOldMembersNote]; !old.empty()) {
        // From before there were epochs: its members are the first, each on the disk that it had then.
        consensus::EpochState first{{1, {}}, true, {}, {}};
        for (std::size_t from = 0, to = 0; from < old.size(); from = to + 1) {
            to = std::min(old.find(',', from), old.size());
            const auto address = old.substr(from, to - from);
            first.epoch.members.push_back({address, "first-" + address, "", ""});
        }
        disk = "first-" + me_, update.standing = first;
    } else if (update.cells.empty() && boot_.bootstrap &&
               std::binary_search(seeds_.begin(), seeds_.end(), me_)) {
        founding = true;
        consensus::EpochState first{{0, {}}, true, {}, {}};
        for (const auto& seed : seeds_) first.epoch.members.push_back({seed, "", "", ""});
        update.standing = first;
    }
    const bool fresh = notes[kDiskNote].empty();
    if (disk.empty()) disk = newDisk();
    copy_ = consensus::Acceptor(me_, disk);
    copy_.put(update);
    if (copy_.standing().open) epoch_ = copy_.standing().epoch;
    follow(standing());
    log("book_open", {{"disk", disk},
                      {"epoch", copy_.standing().epoch.number},
                      {"votes", copy_.counts()},
                      {"founding", founding},
                      {"keys", copy_.cells().size()}});
    if (!fresh) {
        open_ = true;
        confirm();
        return;
    }
    // The identity, and at the first start that this is a founder, go on the disk before anything is said.
    Job job;
    job.update.standing = copy_.standing();
    job.notes[kDiskNote] = disk;
    job.after = [this] { open_ = confirmed_ = true, pingAll(); };
    enqueue(std::move(job));
}

// What others saw of this disk must not lie above what it holds: else it is an older image of itself.
void ReplicaNode::confirm() {
    if (confirmed_ || !open_) return;
    // Where its epoch has passed, those of that one may be gone for good, and nothing of it is answered any
    // more: only those of the newest are asked, if it is one of them.
    const auto& own = copy_.standing().epoch;
    const auto& epoch = epoch_.number > own.number ? epoch_ : own;
    const auto heard = std::count_if(epoch.members.begin(), epoch.members.end(), [&](const auto& member) {
        const auto by = confirmedBy_.find(member.address);
        return member.address == me_ ||
               (by != confirmedBy_.end() && (epoch.number == 0 || by->second == member.disk));
    });
    if (copy_.member(epoch) && static_cast<std::size_t>(heard) < epoch.majority()) return;
    confirmed_ = true;
    if (!jobs_.empty() && !working_) {
        working_ = true;
        spawn(io_, "register copy", work());
    }
}

// This disk forgot something, or another has taken its name: it goes on as a new one, which never answered.
void ReplicaNode::renew(const char* why) {
    log("disk_renewed", {{"step", "identity"}, {"why", why}, {"disk", copy_.disk()}});
    const auto standing = copy_.standing();
    auto cells = copy_.cells();
    copy_ = consensus::Acceptor(me_, newDisk());
    copy_.put({{}, standing});
    jobs_.clear(), keeping_.clear();
    confirmed_ = false, open_ = false, writes_ = 0;
    Job job;
    for (const auto& [key, _] : cells) job.update.cells[key] = {};
    job.update.standing = standing;
    job.notes[kDiskNote] = copy_.disk();
    job.after = [this] {
        open_ = confirmed_ = true;
        for (const auto& key : kKeys) retain(key);
    };
    enqueue(std::move(job));
}

// ---- The own copy: one job after the other, each on disk before its reply. ----

void ReplicaNode::enqueue(Job job) {
    jobs_.push_back(std::move(job));
    if (working_ || (open_ && !confirmed_)) return;
    working_ = true;
    spawn(io_, "register copy", work());
}

Task<> ReplicaNode::work() {
    while (!jobs_.empty()) {
        auto job = std::move(jobs_.front());
        jobs_.pop_front();
        std::optional<consensus::Update> update;
        consensus::Reply reply;
        if (job.request && job.request->kind != consensus::Request::Kind::install &&
            job.request->epoch < epoch_.number)  // it has passed, also where that is not on this disk yet
            reply.refused = true, reply.epoch = epoch_.number;
        else if (job.request) reply = copy_.evaluate(*job.request, update);
        else if (!job.kept) update = job.update;
        else if (auto kept = keeps(*job.kept)) update = consensus::Update{std::move(*kept), {}};
        if (job.kept) keeping_.erase(*job.kept);
        if (update) {
            const auto disk = copy_.disk();
            if (!co_await write(*update, job.notes)) {
                if (job.request || job.kept) continue;  // no word; what is kept is looked at again
                jobs_.push_back(std::move(job));
                co_await sleep(2 * kMaintainEvery);
                continue;
            }
            if (copy_.disk() != disk) continue;  // renewed meanwhile
            copy_.put(*update);
            for (const auto& [key, cell] : update->cells) {
                if (!job.request || cell.accepted <= known(key).proposalNumber) continue;
                if (const auto at = inForce_.find(key); at != inForce_.end() && at->second == cell.accepted)
                    learn(key, cell.accepted, cell.value);
                else acceptedAt_[key] = now();
            }
            if (update->standing) follow(standing());
        }
        reply.writes = writes_;
        if (job.reply) job.reply(reply);
        if (job.after) job.after();
    }
    working_ = false;
}

Task<bool> ReplicaNode::write(consensus::Update update, std::map<std::string, std::string> notes) {
    if (update.standing) {
        notes[kStandingNote] = membership::write(*update.standing).dump();
        if (update.standing->open)  // what the copy drops is dropped on the disk
            for (const auto& [key, _] : copy_.cells())
                if (key.starts_with("epoch/") && key != consensus::successorKey(update.standing->epoch))
                    update.cells.emplace(key, consensus::RegisterState{});
    }
    notes[kWritesNote] = std::to_string(writes_ + 1);
    notes[kWitnessNote] = Json(witnessed_).dump();
    AsyncEvent bell(io_);
    std::string failure;
    bool ended = false;
    asio::post(disk_, [&] {
        try {
            if (!book_) book_ = opener_(false);
            book_->write(update.cells, notes);
        } catch (const std::exception& error) {
            failure = error.what();
            book_.reset();  // LMDB takes no more after some failures: opened anew with the next write
        }
        asio::post(io_, [&] { ended = true, bell.notify(); });
    });
    while (!ended) co_await bell.wait(now() + 3600 * kSecond);
    if (!failure.empty()) log("disk_refused", {{"step", "write"}, {"error", failure}});
    else ++writes_;
    co_return failure.empty();
}

// ---- Who there is: pings, contact, epochs. ----

Json ReplicaNode::holds() const {
    Json held = Json::object();
    for (const auto& key : kKeys)
        if (const auto& cell = copy_.cell(key); cell.accepted.round > 0)
            held[key] = messages::encode(cell.accepted);
    return held;
}

Json ReplicaNode::about() const {
    return {{"at", me_},
            {"disk", open_ ? copy_.disk() : ""},
            {"zone", boot_.zone},
            {"region", boot_.region},
            {"eligible", boot_.quorumMember},
            {"leaving", leaving_},
            {"epoch", epoch_.number},
            {"seated", copy_.member(copy_.standing().epoch)},
            {"writes", writes_},
            {"held", holds()}};
}

Json ReplicaNode::standing() const {
    Json told{{"t", "standing"}, {"epoch", membership::write(epoch_)}};
    const auto& own = copy_.standing();
    if (own.open && own.epoch.number > epoch_.number) told["epoch"] = membership::write(own.epoch);
    if (own.next) told["from"] = membership::write(own.epoch), told["to"] = membership::write(*own.next);
    else if (!own.open && own.before)
        told["from"] = membership::write(*own.before), told["to"] = membership::write(own.epoch);
    else if (successor_)
        told["from"] = membership::write(successor_->first),
        told["to"] = membership::write(successor_->second);
    return told;
}

void ReplicaNode::tellStanding() {
    const auto packed = PeerConnection::encode(standing());
    for (const auto& [_, link] : links_) link->send(packed);
}

// What is told of epochs, by this disk or another control node.
void ReplicaNode::follow(const Json& told) {
    const auto epoch = membership::decodeEpoch(told.at("epoch"));
    if (epoch.number > epoch_.number) adopt(epoch);
    if (!told.contains("to")) return;
    auto from = membership::decodeEpoch(told.at("from")), to = membership::decodeEpoch(told.at("to"));
    if (to.number <= epoch_.number || (successor_ && successor_->second.number >= to.number)) return;
    successor_ = {std::move(from), std::move(to)};
    successorSince_ = now();
}

void ReplicaNode::adopt(const consensus::Epoch& epoch) {
    const bool seated = epoch_.number == 0 || copy_.member(epoch_);
    epoch_ = epoch, epochSince_ = now();
    if (successor_ && successor_->second.number <= epoch.number) successor_.reset();
    Json members = Json::array();
    for (const auto& member : epoch.members) members.push_back(member.address);
    log("epoch", {{"number", epoch.number}, {"members", members}, {"votes", copy_.member(epoch)}});
    if (!seated && copy_.member(epoch)) log("rejoined", {{"number", epoch.number}, {"disk", copy_.disk()}});
    install();
    for (const auto& [_, pending] : pending_) pending->bell.notify();
    pingAll();  // who answers as one of it is in contact
    owner_.moved();
}

// The newest epoch that is known to be open goes on this disk, and again where that has refused it: until
// then this copy answers nothing of it.
void ReplicaNode::install() {
    if (epoch_.number == 0 || stands()) return;
    consensus::Request request;
    request.kind = consensus::Request::Kind::install, request.epoch = epoch_.number, request.to = epoch_;
    request.open = true;
    Job job;
    job.request = std::move(request);
    enqueue(std::move(job));
}

bool ReplicaNode::stands() const {
    const auto& own = copy_.standing();
    return own.epoch.number > epoch_.number || (own.epoch.number == epoch_.number && own.open);
}

// Whoever holds less than another reads: a change of the members lifts ballots too, and no writer tells of
// that.
void ReplicaNode::heardHolds(Peer& peer, const Json& held) {
    peer.held.clear();
    for (const auto& [key, proposalNumber] : held.items())
        rumour(key, peer.held[key] = messages::decodeProposalNumber(proposalNumber));
}

void ReplicaNode::rumour(const std::string& key, const consensus::ProposalNumber& proposalNumber) {
    auto& rumoured = rumoured_[key];
    if (proposalNumber <= rumoured.first) return;
    if (rumoured.first <= known(key).proposalNumber)
        rumoured.second = now();  // since when there is one to see to
    rumoured.first = proposalNumber;
}

void ReplicaNode::heardOf(const Json& told) {
    const auto at = told.at("at").get<std::string>();
    if (at == me_) return;
    auto& peer = peers_[at];
    peer.member = {at, told.at("disk").get<std::string>(), told.at("zone").get<std::string>(),
                   told.at("region").get<std::string>()};
    told.at("eligible").get_to(peer.eligible);
    told.at("leaving").get_to(peer.leaving);
    told.at("epoch").get_to(peer.epoch);
    told.at("seated").get_to(peer.seated);
    heardHolds(peer, told.at("held"));
    peer.heardAt = now();
    if (peer.member.disk.empty()) return;  // not open yet
    auto& seen = witnessed_[peer.member.disk];
    seen = std::max(seen, told.at("writes").get<std::uint64_t>());
}

Json ReplicaNode::greeting() const {
    // Itself too: who is heard of may be chosen as a member, and a change of the members asks the new ones.
    std::set<std::string> known{me_};
    for (const auto& member : epoch_.members) known.insert(member.address);
    if (!formed()) known.insert(seeds_.begin(), seeds_.end());
    return {{"members", known},
            {"formed", formed()},
            {"sure", contact_},
            {"about", about()},
            {"standing", standing()}};
}

void ReplicaNode::onHello(const Json& hello) {
    heardOf(hello.at("about"));
    follow(hello.at("standing"));
}

// A ping carries all about its sender where that is new, else no more than what is needed to answer it.
Json ReplicaNode::pinging(bool whole) const {
    Json told{{"t", "ping"}, {"sent", now()}, {"at", me_}, {"epoch", epoch_.number}};
    told["disk"] = open_ ? copy_.disk() : "";
    if (whole) told["about"] = about();
    return told;
}

void ReplicaNode::ping(PeerConnection& link) { link.send(pinging(true)); }

void ReplicaNode::pingAll() {
    auto mine = about();
    const bool whole = mine != aboutTold_;
    const auto packed = PeerConnection::encode(pinging(whole));
    aboutTold_ = std::move(mine);
    for (const auto& [_, link] : links_) link->send(packed);
}

void ReplicaNode::pong(const Json& message) {
    const auto at = message.at("at").get<std::string>();
    auto& peer = peers_[at];
    peer.heardAt = now();
    peer.answeredAt = std::max(peer.answeredAt, message.at("sent").get<Nanos>());
    message.at("epoch").get_to(peer.epoch);
    message.at("seated").get_to(peer.seated);
    heardHolds(peer, message.at("held"));
    message.at("disk").get_to(peer.member.disk);
    if (message.at("of").get_ref<const std::string&>() != copy_.disk() || !open_) return;
    if (message.at("seen").get<std::uint64_t>() > writes_) return renew("others saw a later life of it");
    if (!confirmed_) confirmedBy_[at] = peer.member.disk, confirm();
    if (formed() && !contact_ && !reading_ && reachable()) spawn(io_, "register", readAll());
}

// Whether a majority of an epoch that is decided has answered of late, with the disks that it names.
bool ReplicaNode::answers(const consensus::Epoch& epoch) const {
    std::size_t heard = 0;
    for (const auto& member : epoch.members) {
        const auto peer = peers_.find(member.address);
        if (member.address == me_) heard += open_ && confirmed_ && copy_.disk() == member.disk;
        else if (peer != peers_.end() && peer->second.member.disk == member.disk)
            heard += now() - peer->second.heardAt <= kStandsByFor;
    }
    return heard >= epoch.majority();
}

bool ReplicaNode::reachable() const {
    if (epoch_.members.empty()) return false;
    std::size_t heard = 0;
    for (const auto& member : epoch_.members) {
        if (member.address == me_) {
            heard += confirmed_ && copy_.member(epoch_) && stands();
            continue;
        }
        const auto peer = peers_.find(member.address);
        // One that has not heard of a new epoch yet is in reach all the same; one that is ahead is asked
        // first.
        if (peer == peers_.end() || peer->second.epoch > epoch_.number) continue;
        // Of the founding only addresses are known: one whose disk is new is no founder.
        if (epoch_.number > 0 ? peer->second.member.disk != member.disk : !peer->second.seated) continue;
        heard += peer->second.answeredAt > 0 && now() - peer->second.answeredAt <= boot_.controlContactTime;
    }
    return heard >= epoch_.majority();
}

bool ReplicaNode::hears(const std::string& address) const {
    const auto peer = peers_.find(address);
    return links_.contains(address) && peer != peers_.end() && peer->second.answeredAt > 0 &&
           now() - peer->second.answeredAt <= boot_.controlContactTime;
}

void ReplicaNode::joined(const std::string& to, std::shared_ptr<PeerConnection> link) {
    for (const auto& [id, pending] : pending_) {
        links_[to] = link;
        ask(id, *pending, &to);
    }
    ping(*link);
    links_[to] = std::move(link);
}
void ReplicaNode::onPeerDisconnected(const std::string& to) { links_.erase(to); }

// ---- What is in force. ----

const ReplicaNode::Known& ReplicaNode::known(const std::string& key) const {
    static const Known none;
    const auto at = known_.find(key);
    return at == known_.end() ? none : at->second;
}

void ReplicaNode::learn(const std::string& key, const consensus::ProposalNumber& proposalNumber,
                        const std::string& value) {
    auto& known = known_[key];
    if (proposalNumber <= known.proposalNumber) return;
    const bool newer = value != known.value;
    known = {proposalNumber, value};
    if (const auto at = acceptedAt_.find(key);
        at != acceptedAt_.end() && copy_.cell(key).accepted <= proposalNumber)
        acceptedAt_.erase(at);
    retain(key);
    if (newer) owner_.learnt(key);
}

// Told to be in force: where this disk has taken that very ballot, it has the value; else it is read.
void ReplicaNode::inForce(const std::string& key, const consensus::ProposalNumber& proposalNumber) {
    inForce_[key] = std::max(inForce_[key], proposalNumber);
    if (const auto& cell = copy_.cell(key); proposalNumber.round > 0 && cell.accepted == proposalNumber)
        learn(key, proposalNumber, std::string(cell.value));
}

// What is surely in force goes on this disk too, if it is not there: one that stands by has all values when
// it becomes a member, and a member that was down has what it missed.
void ReplicaNode::retain(const std::string& key) {
    const auto& known = this->known(key);
    if (!open_ || !confirmed_ || known.proposalNumber.round == 0 ||
        copy_.cell(key).accepted >= known.proposalNumber)
        return;
    if (jobs_.size() >= kJobsAtMost) return;  // the disk hangs
    Job job;
    if (copy_.counts()) {
        consensus::Request accept;
        accept.kind = consensus::Request::Kind::accept, accept.epoch = copy_.standing().epoch.number;
        accept.key = key, accept.proposalNumber = known.proposalNumber, accept.value = known.value;
        job.request = accept;
    } else {
        if (!keeps(key) || !keeping_.insert(key).second) return;
        job.kept = key;
    }
    enqueue(std::move(job));
}

// What a learner's disk is to hold of a key, as of now: nothing where it holds as much, or has become a
// member meanwhile. Asked again when its turn to be written has come: a member's cells change by requests
// alone.
std::optional<consensus::RegisterStates> ReplicaNode::keeps(const std::string& key) const {
    auto cell = held(key);
    if (copy_.member(copy_.standing().epoch) || copy_.cell(key).accepted >= cell.accepted)
        return std::nullopt;
    cell.promised = std::max(cell.promised, copy_.cell(key).promised);
    return consensus::RegisterStates{{key, std::move(cell)}};
}

// ---- Runs at keys. ----

// Sends what a run or a change of the members asks now: to all that it asks, or to `only` one address.
void ReplicaNode::ask(std::uint64_t id, const Pending& pending, const std::string* only) {
    std::vector<std::pair<Json, consensus::Request>> all;
    if (pending.run) {
        all.emplace_back(aboutStep(pending.run->step()), pending.run->request());
    } else {
        const auto step = static_cast<int>(pending.succession->step());
        for (auto& request : pending.succession->requests()) {
            const auto run = pending.succession->runs().find(request.key);
            const int inRun =
                run == pending.succession->runs().end() ? 0 : static_cast<int>(run->second.step());
            all.emplace_back(Json::array({step, request.key, inRun}), std::move(request));
        }
    }
    for (const auto& [about, request] : all) {
        std::shared_ptr<const std::string> packed;
        for (const auto& member : pending.asked().members) {
            if (only && member.address != *only) continue;
            if (member.address == me_) {
                Job job;
                job.request = request;
                job.reply = [this, id, about](const consensus::Reply& reply) {
                    answered(id, me_, about, reply);
                };
                if (open_ && jobs_.size() < kJobsAtMost) enqueue(std::move(job));
                continue;
            }
            const auto link = links_.find(member.address);
            if (link == links_.end()) continue;
            if (!packed)
                packed = PeerConnection::encode(
                    {{"t", "reg"}, {"id", id}, {"about", about}, {"request", membership::write(request)}});
            link->second->send(packed);
        }
    }
}

void ReplicaNode::answered(std::uint64_t id, const std::string& from, const Json& about,
                           const consensus::Reply& reply) {
    const auto at = pending_.find(id);
    if (at == pending_.end()) return;
    auto& pending = *at->second;
    const auto& members = pending.asked().members;
    const auto place = std::find_if(members.begin(), members.end(),
                                    [&](const consensus::Member& member) { return member.address == from; });
    if (place == members.end()) return;
    const auto member = static_cast<std::uint32_t>(place - members.begin());
    const bool moved =
        pending.run
            ? pending.run->on(member, static_cast<consensus::Proposal::Step>(about.at(0).get<int>()), reply)
            : pending.succession->on(member,
                                     static_cast<consensus::Reconfiguration::Step>(about.at(0).get<int>()),
                                     about.at(1).get<std::string>(),
                                     static_cast<consensus::Proposal::Step>(about.at(2).get<int>()), reply);
    if (moved) pending.bell.notify();
}

Task<std::optional<std::string>> ReplicaNode::change(std::string key, consensus::Change change, Nanos within,
                                                     bool look) {
    return run(std::move(key), std::move(change), within, look, 0);
}

// A read that meets a write on its way looks again before it ends that write in the writer's place: where the
// way takes long, readers would otherwise get in the way of writers, and of each other, without end.
Task<std::optional<std::string>> ReplicaNode::read(std::string key, Nanos within) {
    return run(std::move(key), kAsItIs, within, true, kLooksAgain);
}

Task<std::optional<std::string>> ReplicaNode::run(std::string key, consensus::Change change, Nanos within,
                                                  bool look, int again) {
    const Nanos end = now() + within;
    std::mt19937 chance(static_cast<unsigned>(now()) ^ number(me_));
    Nanos pause = kPauseFirst;
    consensus::RegisterState told;  // by the run before: spared in the next
    for (int misses = 0; now() < end;) {
        if (!reachable()) {
            co_await sleep(10 * kMillisecond);  // one that asks again and again gets no more than this
            // Just after a change of the members the new ones have not answered yet.
            if (!contact_ || ++misses > 10) co_return std::nullopt;
            continue;
        }
        const auto id = ++runs_;
        const auto epoch = epoch_;
        if (const auto own = held(key); own.accepted >= told.accepted) told = own;
        auto pending = std::make_shared<Pending>(
            consensus::Proposal(key, epoch, number(me_), above_[key], change, look, told), epoch, io_);
        pending_[id] = pending;
        auto& run = *pending->run;
        const Nanos began = now(), until = std::min(end, began + kRunWithin);
        bool unsettled = false;
        for (bool sent = false; now() < until && epoch_.number == epoch.number;) {
            const auto step = run.step();
            if (step == consensus::Proposal::Step::done || step == consensus::Proposal::Step::lost) break;
            unsettled = look && again > 0 && step == consensus::Proposal::Step::prepare;
            if (unsettled) break;
            if (!std::exchange(sent, true)) ask(id, *pending, nullptr);
            if (co_await pending->bell.wait(until)) sent = run.step() == step;
        }
        pending_.erase(id);
        above_[key] = std::max(above_[key], run.above());
        told = run.told();
        if (run.step() == consensus::Proposal::Step::done) {
            const auto value = run.value();
            const auto proposalNumber = run.proposalNumber();
            if (proposalNumber > known(key).proposalNumber && !key.starts_with("epoch/")) {
                const auto packed = PeerConnection::encode(
                    Json{{"t", "learn"}, {"key", key}, {"ballot", messages::encode(proposalNumber)}});
                for (const auto& [_, link] : links_) link->send(packed);
            }
            if (!key.starts_with("epoch/")) learn(key, proposalNumber, value);
            co_return value;
        }
        if (unsettled) --again;
        else look = false, above_[key] = std::max(above_[key], run.proposalNumber().round);
        // As long as the way takes, by chance, and longer each time: else those that meet once meet for ever.
        const Nanos most = std::clamp(2 * (now() - began), pause, kPauseMost);
        co_await sleep(2 * kMillisecond + static_cast<Nanos>(chance() % static_cast<std::uint64_t>(most)));
        pause = std::min(2 * pause, kPauseMost);
    }
    co_return std::nullopt;
}

bool ReplicaNode::heard(PeerConnection& link, const Json& message) {
    const auto& kind = message.at("t").get_ref<const std::string&>();
    if (kind == "reg") {
        if (!open_ || jobs_.size() >= kJobsAtMost)
            return true;  // the disk hangs: no word, as from one that is down
        Job job;
        job.request = membership::decodeRequest(message.at("request"));
        job.reply = [to = link.weak_from_this(), id = message.at("id"),
                     about = message.at("about")](const consensus::Reply& reply) {
            if (const auto open = to.lock())
                open->send(
                    Json{{"t", "reply"}, {"id", id}, {"about", about}, {"reply", membership::write(reply)}});
        };
        enqueue(std::move(job));
    } else if (kind == "reply") {
        const auto reply = membership::decodeReply(message.at("reply"));
        if (const auto peer = peers_.find(link.peer); peer != peers_.end()) {
            auto& seen = witnessed_[peer->second.member.disk];
            seen = std::max(seen, reply.writes);
        }
        answered(message.at("id").get<std::uint64_t>(), link.peer, message.at("about"), reply);
    } else if (kind == "learn") {
        inForce(message.at("key").get<std::string>(), messages::decodeProposalNumber(message.at("ballot")));
    } else if (kind == "known") {
        for (const auto& [key, proposalNumber] : message.at("ballots").items())
            inForce(key, messages::decodeProposalNumber(proposalNumber));
    } else if (kind == "ping") {
        if (message.contains("about")) heardOf(message.at("about"));
        else if (const auto peer = peers_.find(message.at("at").get<std::string>()); peer != peers_.end())
            peer->second.heardAt = now(), message.at("epoch").get_to(peer->second.epoch);
        const auto& disk = message.at("disk").get_ref<const std::string&>();
        const auto seen = witnessed_.find(disk);
        link.send(Json{{"t", "pong"},
                       {"sent", message.at("sent")},
                       {"at", me_},
                       {"epoch", epoch_.number},
                       {"disk", open_ ? copy_.disk() : ""},
                       {"seated", copy_.member(copy_.standing().epoch)},
                       {"of", disk},
                       {"held", holds()},
                       {"seen", seen == witnessed_.end() ? 0 : seen->second}});
        if (message.at("epoch").get<std::uint64_t>() < epoch_.number) link.send(standing());
    } else if (kind == "pong") {
        pong(message);
        if (message.at("epoch").get<std::uint64_t>() < epoch_.number) link.send(standing());
    } else if (kind == "standing") {
        follow(message);
    } else {
        return false;
    }
    return true;
}

// ---- The members, and their change. ----

membership::FaultTolerance ReplicaNode::tolerance() const {
    return {boot_.machinesLost, boot_.zonesLost, boot_.regionsLost};
}

std::vector<membership::Candidate> ReplicaNode::candidates() const {
    const Nanos absentAfter =
        boot_.controlReplaceAfter > 0 ? boot_.controlReplaceAfter : boot_.syncTime * 6 / 10;
    const auto whole = [&](const auto& holds) {
        return std::all_of(kKeys.begin(), kKeys.end(),
                           [&](const auto& key) { return holds(key) >= known(key).proposalNumber; });
    };
    bool anyEligible = boot_.quorumMember;
    for (const auto& [_, peer] : peers_) anyEligible = anyEligible || peer.eligible;
    std::vector<membership::Candidate> all;
    if (open_ && (boot_.quorumMember || !anyEligible))
        all.push_back({self(), whole([&](const auto& key) { return copy_.cell(key).accepted; }), !leaving_});
    for (const auto& [_, peer] : peers_) {
        if (peer.member.address.empty() || peer.member.disk.empty() || (anyEligible && !peer.eligible))
            continue;
        const bool seated = epoch_.number > 0 && epoch_.find(peer.member.address, peer.member.disk);
        // One that lost its seat for its absence is not there to stand by either.
        // One that was out of reach while contact was lost, or was given a seat by others, has had no chance
        // to be heard.
        const Nanos quiet = now() - std::max(peer.heardAt, seated ? std::max(contactSince_, epochSince_) : 0);
        all.push_back(
            {peer.member, whole([&](const auto& key) {
                 const auto at = peer.held.find(key);
                 return at == peer.held.end() ? consensus::ProposalNumber{} : at->second;
             }),
             !peer.leaving && quiet <= (seated ? absentAfter : std::min(kStandsByFor, absentAfter))});
    }
    // A member not heard of since this control node began.
    if (epoch_.number > 0 && now() - std::max(contactSince_, epochSince_) <= absentAfter)
        for (const auto& member : epoch_.members)
            if (member.address != me_ && !peers_.contains(member.address))
                all.push_back({member, false, true});
    return all;
}

std::vector<consensus::Member> ReplicaNode::planned(bool leaving) const {
    auto all = candidates();
    if (leaving)
        for (auto& one : all) one.present = one.present && one.member.address != me_;
    return membership::plan(formed() ? epoch_.members : std::vector<consensus::Member>{}, all, tolerance());
}

Task<bool> ReplicaNode::propose(std::vector<consensus::Member> members) {
    changing_ = true;
    const auto from = epoch_;
    const consensus::Epoch to{from.number + 1, std::move(members)};
    Json names = Json::array();
    for (const auto& member : to.members) names.push_back(member.address);
    log("members_proposed", {{"epoch", to.number}, {"members", names}});
    const auto value = membership::write(to).dump();
    const consensus::Change first = [value](const std::string& held) { return held.empty() ? value : held; };
    const auto decided = co_await change(consensus::successorKey(from), first, kChangeWithin, false);
    bool done = false;
    if (decided && epoch_.number == from.number) {
        successor_ = {from, membership::decodeEpoch(Json::parse(*decided))};
        successorSince_ = now();
        if (answers(successor_->second)) done = co_await succeed(successor_->first, successor_->second);
    }
    changing_ = false;
    co_return done;
}

Task<bool> ReplicaNode::succeed(consensus::Epoch from, consensus::Epoch to) {
    consensus::RegisterStates holds;
    for (const auto& key : kKeys)
        if (known(key).proposalNumber.round > 0) holds[key] = held(key);
    const auto id = ++runs_;
    auto pending =
        std::make_shared<Pending>(consensus::Reconfiguration(from, to, number(me_), std::move(holds)), io_);
    pending_[id] = pending;
    const auto& succession = *pending->succession;
    using Step = consensus::Reconfiguration::Step;
    const Nanos end = now() + kChangeWithin;
    Nanos next = 0;
    while (now() < end && epoch_.number < to.number && succession.step() != Step::done &&
           succession.step() != Step::lost) {
        if (now() >= next) ask(id, *pending, nullptr), next = now() + kAskAgain;
        if (co_await pending->bell.wait(std::min(end, next))) next = 0;
    }
    pending_.erase(id);
    const bool done = succession.step() == Step::done;
    if (done && epoch_.number < to.number) adopt(to);
    if (epoch_.number == to.number) tellStanding();
    co_return done;
}

// One look at who there is: a change that was left halfway is ended, one that is due is proposed.
Task<> ReplicaNode::steward() {
    if (changing_ || !open_ || !confirmed_) co_return;
    std::mt19937 chance(static_cast<unsigned>(now()) ^ number(me_));
    if (successor_) {
        if (now() - successorSince_ < kDeferFor / 2 + static_cast<Nanos>(chance() % 200) * kMillisecond)
            co_return;
        // The seal can't be taken back: not before those who are to go on are there.
        if (!copy_.standing().next && !answers(successor_->second)) co_return;
        changing_ = true;
        const auto [from, to] = *successor_;
        if (!co_await succeed(from, to)) successorSince_ = now();
        changing_ = false;
        co_return;
    }
    if (!reachable() || !copy_.member(epoch_) || (formed() && !contact_)) co_return;
    // One that this disk has accepted and nobody ended: it may be decided, and must not come as a surprise.
    const auto& halfway = copy_.cell(consensus::successorKey(epoch_));
    if (halfway.accepted.round > 0) {
        if (halfwaySince_ == 0) halfwaySince_ = now();
        if (now() - halfwaySince_ < kDeferFor + static_cast<Nanos>(chance() % 200) * kMillisecond) co_return;
        halfwaySince_ = 0;
        co_await propose(membership::decodeEpoch(Json::parse(halfway.value)).members);
        co_return;
    }
    halfwaySince_ = 0;
    const auto target = planned(false);
    if (target.empty() || (formed() && target == epoch_.members)) {
        wantedSince_ = 0;
        co_return;
    }
    if (wantedSince_ == 0) wantedSince_ = now();
    if (!formed() && now() - began_ < kFoundPatience &&
        !membership::unmetTolerance(target, tolerance()).empty())
        co_return;
    std::vector<std::string> present;
    for (const auto& one : candidates())
        if (one.present && (formed() ? epoch_.find(one.member.address, one.member.disk)
                                     : epoch_.find(one.member.address, "")))
            present.push_back(one.member.address);
    const auto turn = hashing::rendezvousSelect(present, "members", 1);
    if (!turn.empty() && turn.front() != me_ && now() - wantedSince_ < kDeferFor) co_return;
    wantedSince_ = 0;
    co_await propose(target);
}

Task<> ReplicaNode::leave() {
    leaving_ = true;
    pingAll();
    if (!contact_ || !copy_.member(epoch_)) co_return;
    const auto stays = [&](const std::vector<consensus::Member>& members) {
        return std::any_of(members.begin(), members.end(),
                           [&](const auto& member) { return member.address == me_; });
    };
    const auto standsBy = [&] {
        const auto all = candidates();
        return std::any_of(all.begin(), all.end(), [&](const auto& one) {
            return one.present && !epoch_.find(one.member.address, one.member.disk);
        });
    };
    // One that stands by may have the newest value still to write.
    for (const Nanos end = now() + kChangeWithin; now() < end && stays(epoch_.members) && standsBy();) {
        const auto target = planned(true);
        if (!changing_ && !stays(target)) co_await propose(target);
        else co_await sleep(kMaintainEvery);
    }
    if (stays(epoch_.members)) log("seat_kept", {{"step", "leave"}, {"members", epoch_.members.size()}});
}

// Every key from a majority: at the start, and whenever contact is back.
Task<> ReplicaNode::readAll() {
    reading_ = true;
    bool all = true;
    for (const auto& key : kKeys) all = all && (co_await read(key, kSecond)).has_value();
    reading_ = false;
    if (!all || !reachable() || contact_) co_return;
    contact_ = true;
    if (!std::exchange(metOnce_, true)) log("formed", {{"epoch", epoch_.number}, {"keys", known_.size()}});
    log("contact", {{"epoch", epoch_.number}});
    owner_.moved();
}

void ReplicaNode::tellUnborne() {
    std::string unborne;
    if (formed())
        for (const auto& one : membership::unmetTolerance(epoch_.members, tolerance()))
            unborne += (unborne.empty() ? "" : ", ") + one;
    if (unborne != std::exchange(unborne_, unborne))
        log(unborne.empty() ? "borne" : "not_borne",
            {{"epoch", epoch_.number}, {"loss_of", unborne}, {"members", epoch_.members.size()}});
}

Task<> ReplicaNode::maintain() {
    for (Nanos pinged = 0, planned = 0;;) {
        co_await sleep(kMaintainEvery);
        if (!open_) continue;
        if (now() - pinged >= kPingEvery) {
            pinged = now(), pingAll();
            if (confirmed_ && jobs_.empty() && !working_) install();
            tellUnborne();
        }
        confirm();
        const bool reached = formed() && reachable();
        if (!reached) {
            contactSince_ = now();
            if (std::exchange(contact_, false)) {
                log("contact_lost", {{"step", "contact"}, {"epoch", epoch_.number}});
                owner_.moved();
            }
        } else if (!contact_ && !reading_) {
            spawn(io_, "register", readAll());
        }
        const bool pending = !contact_ || successor_ || wantedSince_ > 0 || halfwaySince_ > 0;
        if (!changing_ && (pending || now() - planned >= kPlanEvery))
            planned = now(), spawn(io_, "members", steward());
        if (!contact_) continue;
        for (const auto& key : kKeys)
            if (!behind(key) && !working_) retain(key);
        if (!catching_ &&
            std::any_of(kKeys.begin(), kKeys.end(), [&](const auto& key) { return behind(key); }))
            spawn(io_, "register", catchUp());
    }
}

// Whether another knows more: what is told to be in force; and what was taken here, or is told to be held
// somewhere, where its writer had time to tell the end: until then a read would only get in its way. While
// this copy is sealed, no read could end.
bool ReplicaNode::behind(const std::string& key) const {
    if (copy_.standing().next) return false;
    const auto& proposalNumber = known(key).proposalNumber;
    const auto told = inForce_.find(key);
    if (told != inForce_.end() && told->second > proposalNumber) return true;
    const auto accepted = acceptedAt_.find(key);
    if (accepted != acceptedAt_.end() && now() - accepted->second > kUnlearntFor) return true;
    const auto rumoured = rumoured_.find(key);
    return rumoured != rumoured_.end() && rumoured->second.first > proposalNumber &&
           now() - rumoured->second.second > kUnlearntFor;
}

// Never waited for by the looks at contact and members.
Task<> ReplicaNode::catchUp() {
    catching_ = true;
    for (const auto& key : kKeys) {
        if (!behind(key) || !co_await read(key, kSecond)) continue;
        if (const auto at = acceptedAt_.find(key);
            at != acceptedAt_.end() && now() - at->second > kUnlearntFor)
            acceptedAt_.erase(at);
    }
    catching_ = false;
}

Json ReplicaNode::describe() const {
    Json members = Json::array(), standsBy = Json::array();
    for (const auto& member : epoch_.members) {
        Json one{{"address", member.address}, {"disk", member.disk}, {"zone", member.zone}};
        const auto peer = peers_.find(member.address);
        if (member.address != me_)
            one["heard_ms_ago"] = peer == peers_.end() || peer->second.heardAt == 0
                                      ? Json(nullptr)
                                      : Json((now() - peer->second.heardAt) / kMillisecond);
        members.push_back(std::move(one));
    }
    for (const auto& one : candidates())
        if (one.present && !epoch_.find(one.member.address, one.member.disk))
            standsBy.push_back({{"address", one.member.address}, {"whole", one.whole}});
    Json unborne = Json::array();
    if (formed())
        for (const auto& one : membership::unmetTolerance(epoch_.members, tolerance()))
            unborne.push_back(one);
    return {{"epoch", epoch_.number}, {"members", members},
            {"stands_by", standsBy},  {"disk", copy_.disk()},
            {"votes", votes()},       {"contact", contact_},
            {"not_borne", unborne},   {"changing", successor_.has_value()}};
}

}  // namespace lichenlanding::control_plane
