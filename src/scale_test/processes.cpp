#include "scale_test/processes.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <istream>

namespace lichenlanding::scale_test {

using namespace transport;

namespace {

struct Pipe {
    int readEnd = -1, writeEnd = -1;
};

Pipe makePipe() {
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("scale-test: cannot create a pipe");
    return {ends[0], ends[1]};
}

// Runs in the child after fork(), where only async-signal-safe calls are allowed.
[[noreturn]] void execProgram(const std::string& program, char* const* arguments, pid_t parent,
                              const Pipe& in, const Pipe& out, const std::string& settings) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    dup2(in.readEnd, STDIN_FILENO);
    dup2(out.writeEnd, STDOUT_FILENO);
    dup2(out.writeEnd, STDERR_FILENO);
    if (!settings.empty()) setenv("LICHENLANDING_SETTINGS", settings.c_str(), 1);
    execv(program.c_str(), arguments);
    _exit(127);
}

}  // namespace

const char* nameOf(Role role) {
    switch (role) {
        case Role::controlNode:
            return "control_node";
        case Role::proxy:
            return "proxy";
        case Role::simulatedProxies:
            return "hollow";
    }
    return "";
}

Processes::Processes(asio::io_context& io, std::string program, Listener listener)
    : io_(io), program_(std::move(program)), listener_(std::move(listener)) {}

Processes::~Processes() { stopAll(); }

void Processes::launch(const std::string& name, Role role, std::vector<std::string> commandLine,
                       const std::string& settings) {
    const auto out = makePipe();
    const auto in = makePipe();
    std::vector<char*> arguments{program_.data()};
    for (auto& argument : commandLine) arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    const auto parent = getpid();
    const auto id = fork();
    if (id < 0) throw std::runtime_error("scale-test: cannot fork a process");
    if (id == 0) execProgram(program_, arguments.data(), parent, in, out, settings);
    ::close(out.writeEnd);
    ::close(in.readEnd);
    auto& process = processes_[name];
    process.id = id;
    process.role = role;
    process.out = std::make_unique<asio::posix::stream_descriptor>(io_, out.readEnd);
    process.in = std::make_unique<asio::posix::stream_descriptor>(io_, in.writeEnd);
    spawn(io_, "lines", readLines(name, process.out.get()));
}

void Processes::stop(Process& process) {
    if (process.id <= 0) return;
    kill(process.id, SIGKILL);
    waitpid(process.id, nullptr, 0);
    process.id = -1;
}

void Processes::stop(const std::string& name) { stop(processes_.at(name)); }

void Processes::stopAll() {
    for (auto& [_, process] : processes_) stop(process);
}

Task<> Processes::send(std::string name, std::string text) {
    ErrorCode ignored;
    co_await asio::async_write(*processes_.at(name).in, asio::buffer(text), withErrorCode(ignored));
}

Task<> Processes::readLines(std::string name, asio::posix::stream_descriptor* out) {
    asio::streambuf buffer;
    for (;;) {
        ErrorCode error;
        co_await asio::async_read_until(*out, buffer, '\n', withErrorCode(error));
        if (error) co_return;
        std::istream stream(&buffer);
        std::string line;
        std::getline(stream, line);
        const auto read = nlohmann::json::parse(line, nullptr, false);
        if (read.is_object()) listener_(name, read);
    }
}

std::map<std::string, Role> Processes::roles() const {
    std::map<std::string, Role> all;
    for (const auto& [name, process] : processes_) all[name] = process.role;
    return all;
}

std::map<std::string, pid_t> Processes::running() const {
    std::map<std::string, pid_t> all;
    for (const auto& [name, process] : processes_)
        if (process.id > 0) all[name] = process.id;
    return all;
}

}  // namespace lichenlanding::scale_test
