// The control node's part in the register: its own copy on disk, runs at keys over the members' links, who
// the members are and whether a majority of them is in reach. The rules are src/consensus's and
// src/membership's; here are the disk's thread, messages and time. docs/design/control.md.
#pragma once

#include <array>
#include <boost/asio/thread_pool.hpp>
#include <map>
#include <optional>
#include <set>

#include "config/bootstrap_settings.hpp"
#include "consensus/consensus.hpp"
#include "membership/membership.hpp"
#include "storage/replica_store.hpp"
#include "transport/peer_connection.hpp"

namespace lichenlanding::control_plane {

using transport::Json;
using transport::PeerConnection;
using transport::Task;

inline const std::string kConfigurationKey = "configuration", kRolloutsKey = "rollouts",
                         kLeasesKey = "duties";
inline const std::array<std::string, 3> kKeys{kConfigurationKey, kRolloutsKey, kLeasesKey};

class ReplicaNode {
  public:
    struct Known {
        consensus::ProposalNumber proposalNumber;
        std::string value;
    };
    // What the host does with it. `learnt`: a newer value of a key is surely in force. `moved`: there are
    // other members, or contact has come or gone.
    struct Owner {
        std::function<void(const std::string& key)> learnt;
        std::function<void()> moved;
    };

    // Opens the disk's book; `anew`: what is there is damaged and put aside. Called on the disk's thread too.
    using Opener = std::function<std::unique_ptr<storage::ReplicaStore>(bool anew)>;
    static Opener onDisk(const config::BootstrapSettings& boot);  // in the settings' data_dir

    ReplicaNode(transport::asio::io_context& io, const config::BootstrapSettings& boot, Owner owner,
                Opener opener);
    ~ReplicaNode();

    void open();  // the disk, and what is on it
    // Messages of control nodes ("reg", "reply", "learn", "known", "ping", "pong", "standing"); true where it
    // was one of them.
    bool heard(PeerConnection& link, const Json& message);
    // A link to a control node is open; `to` is its address. Replies come back on it.
    void joined(const std::string& to, std::shared_ptr<PeerConnection> link);
    void onPeerDisconnected(const std::string& to);
    Json greeting() const;  // fields of a hello: what others need to find all members ("members": addresses)
    void onHello(const Json& hello);  // another control node's

    // Null where no majority could be had in time; out of contact, at once.
    // `look`: first see whether a majority agrees on a value that needs no change.
    Task<std::optional<std::string>> change(std::string key, consensus::Change change, Nanos within,
                                            bool look = true);
    Task<std::optional<std::string>> read(std::string key, Nanos within);

    const Known& known(const std::string& key) const;
    // Whether a majority of the members has answered of late, and every key was read from a majority since
    // that is so. Out of contact nothing is confirmed, no duty is kept, and what is told to proxies is told
    // as not sure.
    bool hasQuorumContact() const { return contact_; }
    bool formed() const { return epoch_.number > 0; }
    bool votes() const { return confirmed_ && copy_.counts(); }  // this copy is part of majorities
    std::set<std::string> members() const;                       // addresses
    const consensus::Epoch& epoch() const { return epoch_; }
    bool hears(const std::string& address) const;  // that control node has answered a ping of late
    std::size_t reached() const { return links_.size(); }
    Json describe() const;  // for `status`: epoch, members, contact, what is not borne
    // Keeps contact, members and what is known up to date; once the disk is open.
    Task<> maintain();
    Task<> leave();  // before an end by SIGTERM: hands the seat on where another stands by

  private:
    struct Pending;
    // Something for the disk's thread, one after the other: a request to the own copy, or an update as it is.
    struct Job {
        std::optional<consensus::Request> request;
        std::function<void(const consensus::Reply&)> reply;
        consensus::Update update;
        std::optional<std::string>
            kept;  // a key that a learner keeps: what of it, is seen when its turn comes
        std::map<std::string, std::string> notes;
        std::function<void()> after;
    };
    // Another control node, as it last told of itself.
    struct Peer {
        consensus::Member member;
        bool eligible = false, leaving = false, seated = false;
        std::uint64_t epoch = 0;
        std::map<std::string, consensus::ProposalNumber> held;
        Nanos heardAt = 0;     // any word of it
        Nanos answeredAt = 0;  // the last ping that it answered was sent then
    };
    void enqueue(Job job);
    Task<> work();
    Task<bool> write(consensus::Update update, std::map<std::string, std::string> notes);
    void learn(const std::string& key, const consensus::ProposalNumber& proposalNumber,
               const std::string& value);
    Task<std::optional<std::string>> run(std::string key, consensus::Change change, Nanos within, bool look,
                                         int again);
    void rumour(const std::string& key, const consensus::ProposalNumber& proposalNumber);
    void inForce(const std::string& key, const consensus::ProposalNumber& proposalNumber);
    void retain(const std::string& key);
    std::optional<consensus::RegisterStates> keeps(const std::string& key) const;
    void install();
    void tellUnborne();
    bool stands() const;  // the newest epoch known to be open is on this disk
    bool answers(const consensus::Epoch& epoch) const;
    consensus::Member self() const;
    Json holds() const;
    Json about() const;
    void heardOf(const Json& told);
    void heardHolds(Peer& peer, const Json& held);
    void ping(PeerConnection& link);
    void pingAll();
    Json pinging(bool whole) const;
    void pong(const Json& message);
    void confirm();
    void renew(const char* why);
    bool reachable() const;
    void adopt(const consensus::Epoch& epoch);
    void follow(const Json& told);
    Json standing() const;
    void tellStanding();
    std::vector<membership::Candidate> candidates() const;
    std::vector<consensus::Member> planned(bool leaving) const;
    membership::FaultTolerance tolerance() const;
    Task<bool> propose(std::vector<consensus::Member> members);
    Task<bool> succeed(consensus::Epoch from, consensus::Epoch to);
    Task<> steward();
    Task<> readAll();
    bool behind(const std::string& key) const;
    Task<> catchUp();
    void ask(std::uint64_t id, const Pending& pending, const std::string* only);
    void answered(std::uint64_t id, const std::string& from, const Json& about,
                  const consensus::Reply& reply);
    std::uint32_t number(const std::string& address) const;
    consensus::RegisterState held(const std::string& key) const;

    transport::asio::io_context& io_;
    const config::BootstrapSettings& boot_;
    Owner owner_;
    std::string me_;
    std::vector<std::string> seeds_;  // internal addresses
    consensus::Acceptor copy_;
    bool open_ = false;       // the disk is, with an identity on it
    bool confirmed_ = false;  // nobody has seen a later life of this disk
    Opener opener_;
    std::unique_ptr<storage::ReplicaStore> book_;
    transport::asio::thread_pool disk_{1};
    std::deque<Job> jobs_;
    bool working_ = false;
    std::uint64_t writes_ = 0;  // of this disk, ever
    consensus::Epoch epoch_;    // newest known to be open; of number 0: the founding, or none known
    std::optional<std::pair<consensus::Epoch, consensus::Epoch>> successor_;  // decided, not known to be open
    Nanos successorSince_ = 0, halfwaySince_ = 0, wantedSince_ = 0, contactSince_ = 0, epochSince_ = 0;
    const Nanos began_;
    bool contact_ = false, leaving_ = false, changing_ = false, reading_ = false, catching_ = false;
    bool metOnce_ = false;
    std::string unborne_;
    Json aboutTold_;                     // what all who are linked were last told of this control node
    std::map<std::string, Peer> peers_;  // by address
    std::map<std::string, std::uint64_t> witnessed_;  // by disk: its writes, as others have told them
    std::map<std::string, std::string> confirmedBy_;  // address and disk of those who saw no later life
    std::map<std::string, std::shared_ptr<PeerConnection>> links_;  // by address, that replies come back on
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
    std::uint64_t runs_ = 0;
    std::map<std::string, std::uint64_t> above_;
    std::map<std::string, Known> known_;
    std::map<std::string, consensus::ProposalNumber> inForce_;  // told to be
    std::map<std::string, std::pair<consensus::ProposalNumber, Nanos>>
        rumoured_;                             // told to be held somewhere, since when
    std::set<std::string> keeping_;            // kept ones that wait for the disk
    std::map<std::string, Nanos> acceptedAt_;  // own cells accepted and not yet learnt
};

}  // namespace lichenlanding::control_plane
