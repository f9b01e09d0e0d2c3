// lichenlanding-gateway store: the disk of a stopped control plane process is shown, checked, exported from,
// or made the only member of a new epoch.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>

#include "admin/configuration_record.hpp"
#include "command/gateway.hpp"
#include "config/configuration.hpp"
#include "control_plane/replica_node.hpp"
#include "membership/codec.hpp"
#include "storage/replica_store.hpp"

namespace lichenlanding::command {
namespace {

constexpr std::size_t kMapBytes = std::size_t{1} << 30;
// Above any epoch that a lost majority may have opened without this disk.
constexpr std::uint64_t kEpochStep = 1'000'000;

storage::LmdbReplicaStore openStore(const std::string& folder) {
    if (!std::ifstream(folder + "/data.mdb")) throw std::runtime_error("no store in " + folder);
    return storage::LmdbReplicaStore(folder, kMapBytes);
}

bool isConfiguration(const std::string& key, const consensus::RegisterState& cell) {
    return key == control_plane::kConfigurationKey && !cell.value.empty();
}

std::string formatProposalNumber(const consensus::ProposalNumber& proposalNumber) {
    return std::to_string(proposalNumber.round) + "." + std::to_string(proposalNumber.proposer);
}

std::string formatHistory(const std::string& value) {
    std::string all;
    for (const auto& one : admin::decodeRecord(value).history) all += " " + config::formatVersion(one.number);
    return all;
}

std::string formatMembers(const storage::LmdbReplicaStore& store) {
    const auto note = store.note(storage::kEpochStateNote);
    if (note.empty()) return store.note(storage::kLegacyMembersNote) + " (no epoch yet)";
    const auto state = membership::decodeEpochState(membership::Json::parse(note));
    std::string all = "epoch " + std::to_string(state.epoch.number) +
                      (state.open ? "" : ", not known to be open") + (state.successor ? ", sealed" : "") +
                      ":";
    for (const auto& member : state.epoch.members)
        all += " " + member.address + " (disk " + member.disk + ")";
    return all + ", this disk " + store.note(storage::kDiskIdentityNote);
}

void printFoundPreview(const storage::LmdbReplicaStore& store) {
    std::printf("on this disk: %s\n", formatMembers(store).c_str());
    for (const auto& [key, cell] : store.states()) {
        if (isConfiguration(key, cell))
            std::printf("configuration %s, requests remembered%s\n",
                        config::formatVersion(admin::version(cell.value)).c_str(),
                        formatHistory(cell.value).c_str());
        else
            std::printf("%s: %zu bytes, accepted %s\n", key.c_str(), cell.value.size(),
                        formatProposalNumber(cell.accepted).c_str());
    }
    std::printf(
        "May be lost: whatever was acknowledged that is not on this disk, such as a higher configuration or "
        "a later stage of a rollout.\n");
}

/// Makes this disk the only member of a new epoch, where a majority of the members is gone for good. Without
/// `confirmed` only tells what could be lost.
void found(const std::string& folder, const std::string& address, bool confirmed) {
    auto store = openStore(folder);
    const auto disk = store.note(storage::kDiskIdentityNote);
    if (disk.empty()) throw std::runtime_error("the store in " + folder + " has no identity of its disk yet");
    printFoundPreview(store);
    if (!confirmed) {
        std::printf("Nothing was written. With --yes %s becomes the only member of a new epoch.\n",
                    address.c_str());
        return;
    }
    consensus::EpochState before;
    if (const auto note = store.note(storage::kEpochStateNote); !note.empty())
        before = membership::decodeEpochState(membership::Json::parse(note));
    const consensus::Epoch next{before.epoch.number + kEpochStep, {{address, disk, "", ""}}};
    store.write({}, {{storage::kEpochStateNote,
                      membership::encode(consensus::EpochState{next, true, {}, {}}).dump()}});
    std::printf(
        "written: epoch %llu with %s as its only member; start it, then the others, which stand by and are "
        "added.\n",
        static_cast<unsigned long long>(next.number), address.c_str());
}

/// Opens the store, which checks each record's checksum.
void check(const std::string& folder) {
    const auto store = openStore(folder);
    std::printf("%zu keys, all checksums right, %s\n", store.states().size(), formatMembers(store).c_str());
}

/// The configuration as it was sent.
void exportConfiguration(const std::string& folder) {
    for (const auto& [key, cell] : openStore(folder).states())
        if (isConfiguration(key, cell)) std::printf("%s\n", admin::body(cell.value).c_str());
}

void show(const std::string& folder) {
    const auto store = openStore(folder);
    for (const auto& [key, cell] : store.states()) {
        const bool configuration = isConfiguration(key, cell);
        const auto value = configuration ? admin::body(cell.value) : cell.value;
        std::printf("%s: accepted %s, promised %s, %zu bytes on disk", key.c_str(),
                    formatProposalNumber(cell.accepted).c_str(), formatProposalNumber(cell.promised).c_str(),
                    cell.value.size());
        if (configuration)
            std::printf(", version %s, %zu bytes as sent, requests remembered%s\n",
                        config::formatVersion(admin::version(cell.value)).c_str(), value.size(),
                        formatHistory(cell.value).c_str());
        else std::printf("\n%s%s", value.c_str(), value.empty() ? "" : "\n");
    }
    std::printf("%s\n", formatMembers(store).c_str());
}

}  // namespace

void addStore(CLI::App& app, Action& action) {
    struct Arguments {
        std::string operation, folder, address;
        bool confirmed = false;
    };
    const auto arguments = std::make_shared<Arguments>();
    auto* store = app.add_subcommand("store", "the disk of a stopped control plane process");
    store
        ->add_option(
            "operation", arguments->operation,
            "show, check, export (the configuration as it was sent), or found (a new epoch from this "
            "disk alone, where a majority of the members is gone for good)")
        ->required()
        ->check(CLI::IsMember({"show", "check", "export", "found"}));
    store->add_option("folder", arguments->folder, "the store's folder, data_dir/promptbook")->required();
    store->add_option("--address", arguments->address,
                      "found: this machine on its first internal port, as 10.1.0.16:7720");
    store->add_flag("--yes", arguments->confirmed,
                    "found: write it; without, only what could be lost is told");
    store->footer("Example:\n  lichenlanding-gateway store found data/promptbook --address 10.1.0.16:7720");
    store->callback([=, &action] {
        if (arguments->operation == "found" && arguments->address.empty())
            throw CLI::RequiredError("--address");
        action = [=] {
            const auto& [operation, folder, address, confirmed] = *arguments;
            if (operation == "show") show(folder);
            if (operation == "check") check(folder);
            if (operation == "export") exportConfiguration(folder);
            if (operation == "found") found(folder, address, confirmed);
        };
    });
}

}  // namespace lichenlanding::command
