// File access, keys and times for the subcommands.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "metadata/role.hpp"
#include "metadata/signing_key.hpp"

namespace lichenlanding::command {

/// Exit status of the process; scripts rely on these values.
enum ExitStatus : int { success = 0, refused = 1, usageError = 2 };

/// Throws std::runtime_error with the path and the system's error message.
std::string readFile(const std::string& path);
bool fileExists(const std::string& path);
/// Replaces the file atomically. With `secret` its mode is 0600. Throws std::runtime_error.
void writeFile(const std::string& path, std::string_view bytes, bool secret = false);
void makeDirectory(const std::string& path);  ///< including its parents
/// The first line of the file at `path`: a passphrase on the command line would be visible in the process
/// list. Empty where `path` is empty.
std::string readPassphrase(const std::string& path);
metadata::SigningKey readSigningKey(const std::string& path, const std::string& passphrase);
/// Accepts a public or a private key in PEM format.
metadata::Key readPublicKey(const std::string& path, const std::string& passphrase);

/// Parses an RFC 3339 time such as "2026-12-01T09:30:00Z"; a fraction (ignored) and an offset are accepted.
/// Throws std::invalid_argument.
metadata::UnixSeconds parseRfc3339(const std::string& text);
metadata::UnixSeconds wallClock();

/// Throws std::runtime_error with the text of `refusal`, if there is one.
void throwIf(const metadata::Check& refusal);

}  // namespace lichenlanding::command
