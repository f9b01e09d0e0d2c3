// The command line: one file a subcommand, each put on the app by one function. Exit status 0: done; 1:
// refused or failed, with one line on standard error; 2: the words of the call are wrong.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

#include "command/files.hpp"

namespace lichenlanding::command {

constexpr const char* kVersion = "0.3.0";

/// What the call has asked for; run once the whole line has been read.
using Chosen = std::function<int()>;

void addServe(CLI::App& app, Chosen& chosen);
void addMetadataClient(CLI::App& metadata, Chosen& chosen);
void addMetadataRepository(CLI::App& metadata, Chosen& chosen);
void addMetadataManifest(CLI::App& metadata, Chosen& chosen);
void addMetadataInspect(CLI::App& metadata, Chosen& chosen);

int run(int argc, char** argv);

}  // namespace lichenlanding::command
