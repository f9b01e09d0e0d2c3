#include "command/files.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lichenlanding::command {
namespace {

[[noreturn]] void throwSystemError(const char* operation, const std::string& path) {
    throw std::runtime_error(std::string(operation) + " " + path + ": " + std::strerror(errno));
}

}  // namespace

std::string readFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    if (!file || (file.peek() != EOF && !(text << file.rdbuf()))) throwSystemError("cannot read", path);
    return text.str();
}

bool fileExists(const std::string& path) { return std::filesystem::is_regular_file(path); }

void writeFile(const std::string& path, std::string_view bytes, bool secret) {
    const auto temporary = path + ".new";
    const int file =
        ::open(temporary.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, secret ? 0600 : 0644);
    if (file < 0) throwSystemError("cannot write", path);
    bool ok = !secret || fchmod(file, 0600) == 0;
    while (ok && !bytes.empty()) {
        const auto length = ::write(file, bytes.data(), bytes.size());
        ok = length > 0;
        if (ok) bytes.remove_prefix(static_cast<std::size_t>(length));
    }
    ok = ok && fsync(file) == 0;
    close(file);
    if (ok && ::rename(temporary.c_str(), path.c_str()) == 0) return;
    const int savedErrno = errno;
    unlink(temporary.c_str());
    errno = savedErrno;
    throwSystemError("cannot write", path);
}

void makeDirectory(const std::string& path) { std::filesystem::create_directories(path); }

std::string readPassphrase(const std::string& path) {
    if (path.empty()) return {};
    auto text = readFile(path);
    text = text.substr(0, text.find_first_of("\r\n"));
    if (text.empty()) throw std::runtime_error("the first line is empty in passphrase file " + path);
    return text;
}

metadata::SigningKey readSigningKey(const std::string& path, const std::string& passphrase) {
    auto key = metadata::SigningKey::fromPem(readFile(path), passphrase);
    if (!key) throw std::runtime_error(path + ": " + key.refusal().detail);
    return std::move(*key);
}

metadata::Key readPublicKey(const std::string& path, const std::string& passphrase) {
    const auto pem = readFile(path);
    if (auto key = metadata::publicKeyFromPem(pem)) return std::move(*key);
    return readSigningKey(path, passphrase).key();
}

metadata::UnixSeconds parseRfc3339(const std::string& text) {
    const auto invalid = [&] { return std::invalid_argument("not an RFC 3339 time: " + text.substr(0, 60)); };
    if (text.size() < 20) throw invalid();
    const auto time = metadata::parseTime(text.substr(0, 19) + "Z");
    if (!time) throw invalid();
    auto rest = std::string_view(text).substr(19);
    if (rest[0] == '.') {
        const auto end = rest.find_first_not_of("0123456789", 1);
        if (end == std::basic_string_view<char, std::char_traits<char>>::npos || end == 1) throw invalid();
        rest.remove_prefix(end);
    }
    if (rest == "Z" || rest == "z") return *time;
    int hours = 0;
    int minutes = 0;
    const bool hasOffset = rest.size() == 6 && (rest[0] == '+' || rest[0] == '-') && rest[3] == ':' &&
                           std::from_chars(rest.data() + 1, rest.data() + 3, hours).ptr == rest.data() + 3 &&
                           std::from_chars(rest.data() + 4, rest.data() + 6, minutes).ptr == rest.data() + 6;
    if (!hasOffset || hours > 23 || minutes > 59) throw invalid();
    const auto offsetSeconds = hours * 3600 + minutes * 60;
    return rest[0] == '+' ? *time - offsetSeconds : *time + offsetSeconds;
}

metadata::UnixSeconds wallClock() {
    using namespace std::chrono;
    return duration_cast<seconds>(system_clock::now().time_since_epoch()).count();
}

void throwIf(const metadata::Check& refusal) {
    if (refusal) throw std::runtime_error(refusal->text());
}

}  // namespace lichenlanding::command
