// The command line of `lichenlanding`: each source file registers its subcommands with an add function. Exit
// status 0: success; 1: refused or failed, with one line on standard error; 2: invalid command line.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

#include "command/files.hpp"

namespace lichenlanding::command {

constexpr const char* kVersion = "0.3.0";

/// The selected subcommand. Runs after the whole command line has been parsed; returns the exit status.
using SelectedCommand = std::function<int()>;

void addServe(CLI::App& app, SelectedCommand& selected);
void addMetadataClient(CLI::App& metadata, SelectedCommand& selected);
void addMetadataRepository(CLI::App& metadata, SelectedCommand& selected);
void addMetadataManifest(CLI::App& metadata, SelectedCommand& selected);
void addMetadataInspect(CLI::App& metadata, SelectedCommand& selected);

int run(int argc, char** argv);

}  // namespace lichenlanding::command
