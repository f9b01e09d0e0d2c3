// Files that commands read and write.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "metadata/role.hpp"
#include "metadata/signing_key.hpp"

namespace lichenlanding::command {

/// Exit status: what a script may rely on.
enum Status : int { success = 0, refused = 1, usage = 2 };

std::string readFile(const std::string& path);  ///< throws std::runtime_error with the system's word
bool fileExists(const std::string& path);
/// Over an earlier one in one step; a private one has mode 0600. Throws std::runtime_error.
void writeFile(const std::string& path, std::string_view bytes, bool secret = false);
void makeDirectory(const std::string& path);  ///< with its parents
/// A passphrase is a file's first line, so that it is in no process list; none if the path is empty.
std::string readPassphrase(const std::string& path);
metadata::SigningKey readSigningKey(const std::string& path, const std::string& passphrase);
/// From a public or a private PEM.
metadata::Key readPublicKey(const std::string& path, const std::string& passphrase);

/// RFC 3339: "2026-12-01T09:30:00Z", also with a fraction or an offset. Throws std::invalid_argument.
metadata::UnixSeconds parseInstant(const std::string& text);
metadata::UnixSeconds wallClock();

/// Throws the refusal as one line.
void orThrow(const metadata::Check& refusal);

}  // namespace lichenlanding::command
