// The prompter's part in the register: its own copy on disk, runs at keys over the members' links, rejoining
// after a lost disk. The rules are src/register's; here are the disk's thread, messages and time.
#pragma once

#include <array>
#include <boost/asio/thread_pool.hpp>
#include <map>
#include <optional>
#include <set>

#include "playbill/boot.hpp"
#include "promptbook/promptbook.hpp"
#include "register/register.hpp"
#include "wings/link.hpp"

namespace lichenlanding::prompter {

using wings::Json;
using wings::Link;
using wings::Task;

inline const std::string configurationKey = "configuration", rolloutsKey = "rollouts", dutiesKey = "duties";
inline const std::array<std::string, 3> keys{configurationKey, rolloutsKey, dutiesKey};

class Keeper {
  public:
    struct Known {
        reg::Ballot ballot;
        std::string value;
    };

    // Opens the disk's book; `anew`: what is there is damaged and put aside. Called on the disk's thread too.
    using Opener = std::function<std::unique_ptr<promptbook::Book>(bool anew)>;
    static Opener onDisk(const playbill::Boot& boot);  // in the settings' data_dir

    // `learnt` is called with each newer value that is surely in force.
    Keeper(wings::asio::io_context& io, const playbill::Boot& boot,
           std::function<void(const std::string&)> learnt, Opener opener);
    ~Keeper();

    void open();  // the disk, and what is on it
    // Messages of members ("reg", "reply", "learn", "known"); true where it was one of them.
    bool heard(Link& link, const Json& message);
    // A link to a member is open; `to` is its address. Replies come back on it.
    void joined(const std::string& to, std::shared_ptr<Link> link);
    void parted(const std::string& to);
    Json greeting() const;  // fields of a hello: what others need to find all members ("members": addresses)
    void greeted(const Json& hello);  // another prompter's

    // Null where no majority could be had in time.
    // `look`: first see whether a majority agrees on a value that needs no change.
    Task<std::optional<std::string>> change(std::string key, reg::Change change, Nanos within,
                                            bool look = true);
    Task<std::optional<std::string>> read(std::string key, Nanos within);

    const Known& known(const std::string& key) const;
    // Whether a majority of the members has answered of late. Out of contact nothing is confirmed, no duty is
    // kept, and what is told to foyers is told as not sure. change() and read() then end at once with null.
    bool inContact() const;
    Json describe() const;  // for `status`: epoch, members, contact, what is not borne
    Task<> leave();         // before an end by SIGTERM: hands the membership on where another stands by
    bool formed() const { return members_.size() == size_; }
    bool blank() const { return copy_.blank(); }
    const std::set<std::string>& members() const { return members_; }  // addresses
    std::size_t reached() const { return links_.size(); }
    // Runs at keys whose value another's word or an accepted cell says is newer; once the disk is open.
    Task<> tend();

  private:
    struct Pending;
    struct Errand {
        reg::Request request;
        std::function<void(const reg::Reply&)> reply;
        std::map<std::string, reg::Cell> cells;  // to be put as they are (rejoining)
        std::map<std::string, std::string> notes;
        std::function<void()> after;
    };
    void enqueue(Errand errand);
    Task<> work();
    Task<bool> write(std::map<std::string, reg::Cell> cells, std::map<std::string, std::string> notes);
    void learn(const std::string& key, const reg::Ballot& ballot, const std::string& value);
    void form();
    Task<> rejoin();
    std::uint32_t number(const std::string& address) const;

    wings::asio::io_context& io_;
    const playbill::Boot& boot_;
    std::function<void(const std::string&)> learnt_;
    std::size_t size_;
    std::string me_;
    reg::Copy copy_{true};
    bool open_ = false, fresh_ = false;  // fresh: an empty disk at the system's first start
    Opener opener_;
    std::unique_ptr<promptbook::Book> book_;
    wings::asio::thread_pool disk_{1};
    std::deque<Errand> errands_;
    bool working_ = false;
    std::set<std::string> candidates_, members_;
    std::map<std::string, std::shared_ptr<Link>> links_;  // by member's address, that replies come back on
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
    std::uint64_t runs_ = 0;
    std::map<std::string, std::uint64_t> above_;
    std::map<std::string, Known> known_;
    std::map<std::string, reg::Ballot> rumoured_;  // told to be in force somewhere
    std::map<std::string, Nanos> acceptedAt_;      // own cells accepted and not yet learnt
};

}  // namespace lichenlanding::prompter
