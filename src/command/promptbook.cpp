// A stopped prompter's disk: shown, checked, its configuration exported.
#include "promptbook/promptbook.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>

#include "command/gateway.hpp"
#include "orders/configuration.hpp"
#include "playbill/playbill.hpp"

namespace lichenlanding::command {
namespace {

std::string text(const reg::Ballot& ballot) {
    return std::to_string(ballot.round) + "." + std::to_string(ballot.writer);
}

std::string numbers(const std::string& value) {
    std::string all;
    for (const auto& one : orders::read(value).history) all += " " + playbill::versionText(one.number);
    return all;
}

// A stopped prompter's book: opened as it is, each record's checksum looked at.
void book(const std::string& folder, const std::string& what) {
    if (!std::ifstream(folder + "/data.mdb")) throw std::runtime_error("no book in " + folder);
    const promptbook::Promptbook opened(folder, std::size_t{1} << 30);
    const auto cells = opened.cells();
    if (what == "check") {
        std::printf("%zu keys, all checksums right, members %s\n", cells.size(),
                    opened.note("members").c_str());
        return;
    }
    for (const auto& [key, cell] : cells) {
        const bool configuration = key == "configuration" && !cell.value.empty();
        const auto value = configuration ? orders::body(cell.value) : cell.value;
        if (what == "export") {
            if (configuration) std::printf("%s\n", value.c_str());
            continue;
        }
        std::printf("%s: accepted %s, promised %s, %zu bytes on disk", key.c_str(),
                    text(cell.accepted).c_str(), text(cell.promised).c_str(), cell.value.size());
        if (configuration)
            std::printf(", version %s, %zu bytes as sent, orders remembered%s\n",
                        playbill::versionText(orders::version(cell.value)).c_str(), value.size(),
                        numbers(cell.value).c_str());
        else std::printf("\n%s%s", value.c_str(), value.empty() ? "" : "\n");
    }
    if (what == "show") std::printf("members: %s\n", opened.note("members").c_str());
}

}  // namespace

void addPromptbook(CLI::App& app, std::function<void()>& chosen) {
    auto* promptbook = app.add_subcommand("promptbook", "a stopped prompter's disk");
    const auto what = std::make_shared<std::string>(), folder = std::make_shared<std::string>();
    promptbook->add_option("what", *what, "show, check, or export (the configuration as it was sent)")
        ->required()
        ->check(CLI::IsMember({"show", "check", "export"}));
    promptbook->add_option("folder", *folder, "the book's folder, data_dir/promptbook")->required();
    promptbook->callback([=, &chosen] { chosen = [=] { book(*folder, *what); }; });
}

}  // namespace lichenlanding::command
