/// The child processes of a run: started, listened to and ended. They end with their parent, also where that
/// is killed. One thread, the loop of its io_context.
#pragma once

#include <sys/types.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "transport/event_loop.hpp"

namespace lichenlanding::scale_test {

enum class Role { controlNode, proxy, hollowProxies };

/// The role's name in what a run prints.
const char* nameOf(Role role);

class Processes {
  public:
    /// A line of a process that is a JSON object.
    using Listener = std::function<void(const std::string& process, const nlohmann::json& line)>;

    Processes(transport::asio::io_context& io, std::string program, Listener listener);
    ~Processes();

    /// Starts the program with `words`; `settings`: its settings file, "" for none. A name that is there
    /// already is one that has been stopped. Throws std::runtime_error where the machine has no room.
    void launch(const std::string& name, Role role, std::vector<std::string> words,
                const std::string& settings);
    void stop(const std::string& name);
    void stopAll();
    /// Writes to a process's standard input.
    transport::Task<> send(std::string name, std::string text);

    Role roleOf(const std::string& name) const { return processes_.at(name).role; }
    /// Names with their roles, of all that were ever started; with their ids, of those that run.
    std::map<std::string, Role> roles() const;
    std::map<std::string, pid_t> running() const;

  private:
    struct Process {
        pid_t id = -1;  // -1: does not run
        Role role = Role::hollowProxies;
        std::unique_ptr<transport::asio::posix::stream_descriptor> out, in;
    };

    static void stop(Process& process);
    transport::Task<> readLines(std::string name, transport::asio::posix::stream_descriptor* out);

    transport::asio::io_context& io_;
    std::string program_;
    Listener listener_;
    std::map<std::string, Process> processes_;
};

}  // namespace lichenlanding::scale_test
