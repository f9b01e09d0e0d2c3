// A stopped control node's disk: shown, checked, its configuration exported.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>

#include "admin/configuration_record.hpp"
#include "command/gateway.hpp"
#include "config/configuration.hpp"
#include "membership/codec.hpp"
#include "storage/replica_store.hpp"

namespace lichenlanding::command {
namespace {

std::string text(const consensus::ProposalNumber& proposalNumber) {
    return std::to_string(proposalNumber.round) + "." + std::to_string(proposalNumber.writer);
}

std::string numbers(const std::string& value) {
    std::string all;
    for (const auto& one : admin::read(value).history) all += " " + config::formatVersion(one.number);
    return all;
}

std::string membersOf(const storage::LmdbReplicaStore& opened) {
    const auto standing = opened.note(storage::kStandingNote);
    if (standing.empty()) return opened.note(storage::kOldMembersNote) + " (no epoch yet)";
    const auto read = membership::decodeEpochState(membership::Json::parse(standing));
    std::string all = "epoch " + std::to_string(read.epoch.number) +
                      (read.open ? "" : ", not known to be open") + (read.next ? ", sealed" : "") + ":";
    for (const auto& member : read.epoch.members) all += " " + member.address + " (disk " + member.disk + ")";
    return all + ", this disk " + opened.note(storage::kDiskNote);
}

// Above any epoch that a lost majority may have opened without this disk.
constexpr std::uint64_t kFarAbove = 1'000'000;

// The register anew from this one disk, where a majority of its members is gone for good.
void found(const std::string& folder, const std::string& address, bool sure) {
    if (!std::ifstream(folder + "/data.mdb")) throw std::runtime_error("no book in " + folder);
    storage::LmdbReplicaStore opened(folder, std::size_t{1} << 30);
    const auto disk = opened.note(storage::kDiskNote);
    if (disk.empty()) throw std::runtime_error("the book in " + folder + " has no identity of its disk yet");
    std::printf("held here: %s\n", membersOf(opened).c_str());
    for (const auto& [key, cell] : opened.cells()) {
        if (key == "configuration" && !cell.value.empty())
            std::printf("configuration %s, orders remembered%s\n",
                        config::formatVersion(admin::version(cell.value)).c_str(),
                        numbers(cell.value).c_str());
        else
            std::printf("%s: %zu bytes, accepted %s\n", key.c_str(), cell.value.size(),
                        text(cell.accepted).c_str());
    }
    std::printf(
        "May be lost: whatever was acknowledged that this disk does not hold, such as a higher "
        "configuration or a rollout's later stage.\n");
    if (!sure) {
        std::printf("Nothing was written. With --yes %s becomes the only member of a new epoch.\n",
                    address.c_str());
        return;
    }
    consensus::EpochState standing;
    if (const auto old = opened.note(storage::kStandingNote); !old.empty())
        standing = membership::decodeEpochState(membership::Json::parse(old));
    consensus::Epoch anew{standing.epoch.number + kFarAbove, {{address, disk, "", ""}}};
    opened.write(
        {}, {{storage::kStandingNote, membership::encode(consensus::EpochState{anew, true, {}, {}}).dump()}});
    std::printf(
        "written: epoch %llu with %s alone; start it, then the others, which stand by and are taken in.\n",
        static_cast<unsigned long long>(anew.number), address.c_str());
}

// A stopped control node's book: opened as it is, each record's checksum looked at.
void book(const std::string& folder, const std::string& what) {
    if (!std::ifstream(folder + "/data.mdb")) throw std::runtime_error("no book in " + folder);
    const storage::LmdbReplicaStore opened(folder, std::size_t{1} << 30);
    const auto cells = opened.cells();
    if (what == "check") {
        std::printf("%zu keys, all checksums right, %s\n", cells.size(), membersOf(opened).c_str());
        return;
    }
    for (const auto& [key, cell] : cells) {
        const bool configuration = key == "configuration" && !cell.value.empty();
        const auto value = configuration ? admin::body(cell.value) : cell.value;
        if (what == "export") {
            if (configuration) std::printf("%s\n", value.c_str());
            continue;
        }
        std::printf("%s: accepted %s, promised %s, %zu bytes on disk", key.c_str(),
                    text(cell.accepted).c_str(), text(cell.promised).c_str(), cell.value.size());
        if (configuration)
            std::printf(", version %s, %zu bytes as sent, orders remembered%s\n",
                        config::formatVersion(admin::version(cell.value)).c_str(), value.size(),
                        numbers(cell.value).c_str());
        else std::printf("\n%s%s", value.c_str(), value.empty() ? "" : "\n");
    }
    if (what == "show") std::printf("%s\n", membersOf(opened).c_str());
}

}  // namespace

void addPromptbook(CLI::App& app, std::function<void()>& chosen) {
    auto* promptbook = app.add_subcommand("promptbook", "a stopped prompter's disk");
    const auto what = std::make_shared<std::string>(), folder = std::make_shared<std::string>();
    promptbook
        ->add_option(
            "what", *what,
            "show, check, export (the configuration as it was sent), or found (the register anew from "
            "this disk alone, where a majority of its members is gone for good)")
        ->required()
        ->check(CLI::IsMember({"show", "check", "export", "found"}));
    promptbook->add_option("folder", *folder, "the book's folder, data_dir/promptbook")->required();
    const auto address = std::make_shared<std::string>();
    const auto sure = std::make_shared<bool>(false);
    promptbook->add_option("--address", *address,
                           "found: this machine on its first internal port, as 10.1.0.16:7720");
    promptbook->add_flag("--yes", *sure, "found: write it; without, only what could be lost is told");
    promptbook->footer(
        "Example:\n  lichenlanding-gateway promptbook found data/promptbook --address 10.1.0.16:7720");
    promptbook->callback([=, &chosen] {
        if (*what == "found" && address->empty()) throw CLI::RequiredError("--address");
        chosen = [=] { *what == "found" ? found(*folder, *address, *sure) : book(*folder, *what); };
    });
}

}  // namespace lichenlanding::command
