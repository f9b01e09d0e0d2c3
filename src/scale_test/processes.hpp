/// The child processes of a run. They end with their parent, even if it is killed. Single-threaded, on the
/// event loop of its io_context.
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

enum class Role { controlNode, proxy, simulatedProxies };

/// The role's name in the run's output.
const char* nameOf(Role role);

class Processes {
  public:
    /// Called for each output line of a process that is a JSON object.
    using Listener = std::function<void(const std::string& process, const nlohmann::json& line)>;

    Processes(transport::asio::io_context& io, std::string program, Listener listener);
    ~Processes();

    /// Starts the program with the given arguments. `settings` is the path of its settings file, or "". A
    /// name may be reused after its process was stopped. Throws std::runtime_error if no process can be
    /// started.
    void launch(const std::string& name, Role role, std::vector<std::string> commandLine,
                const std::string& settings);
    void stop(const std::string& name);
    void stopAll();
    /// Writes to a process's standard input.
    transport::Task<> send(std::string name, std::string text);

    Role roleOf(const std::string& name) const { return processes_.at(name).role; }
    std::map<std::string, Role> roles() const;     ///< by name, of all processes ever started
    std::map<std::string, pid_t> running() const;  ///< process ids by name

  private:
    struct Process {
        pid_t id = -1;  // -1: not running
        Role role = Role::simulatedProxies;
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
