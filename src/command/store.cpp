// lichenlanding-gateway store: shows, checks or exports the store of a stopped control plane process, or
// makes it the only member of a new epoch.
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
// Exceeds any epoch that a lost majority may have opened without this disk.
constexpr std::uint64_t kEpochStep = 1'000'000;

storage::LmdbReplicaStore openStore(const std::string& folder) {
    if (!std::ifstream(folder + "/data.mdb")) throw std::runtime_error("no store in " + folder);
    return storage::LmdbReplicaStore(folder, kMapBytes);
}

bool isConfiguration(const std::string& key, const consensus::RegisterState& state) {
    return key == control_plane::kConfigurationKey && !state.value.empty();
}

std::string formatProposalNumber(const consensus::ProposalNumber& proposalNumber) {
    return std::to_string(proposalNumber.round) + "." + std::to_string(proposalNumber.proposer);
}

std::string formatHistory(const std::string& value) {
    std::string text;
    for (const auto& entry : admin::decodeRecord(value).history)
        text += " " + config::formatVersion(entry.number);
    return text;
}

std::string formatMembers(const storage::LmdbReplicaStore& store) {
    const auto note = store.note(storage::kEpochStateNote);
    if (note.empty()) return store.note(storage::kLegacyMembersNote) + " (no epoch yet)";
    const auto state = membership::decodeEpochState(membership::Json::parse(note));
    std::string text = "epoch " + std::to_string(state.epoch.number) +
                       (state.open ? "" : ", not known to be open") + (state.successor ? ", sealed" : "") +
                       ":";
    for (const auto& member : state.epoch.members)
        text += " " + member.address + " (disk " + member.disk + ")";
    return text + ", this disk " + store.note(storage::kDiskIdentityNote);
}

void printFoundPreview(const storage::LmdbReplicaStore& store) {
    std::printf("on this disk: %s\n", formatMembers(store).c_str());
    for (const auto& [key, state] : store.states()) {
        if (isConfiguration(key, state))
            std::printf("configuration %s, requests remembered%s\n",
                        config::formatVersion(admin::version(state.value)).c_str(),
                        formatHistory(state.value).c_str());
        else
            std::printf("%s: %zu bytes, accepted %s\n", key.c_str(), state.value.size(),
                        formatProposalNumber(state.accepted).c_str());
    }
    std::printf(
        "May be lost: acknowledged values that are not on this disk, such as a newer configuration or a "
        "later stage of a rollout.\n");
}

/// Makes this disk the only member of a new epoch, for use after the permanent loss of a majority. Without
/// `confirmed` it only prints what may be lost.
void foundEpoch(const std::string& folder, const std::string& address, bool confirmed) {
    auto store = openStore(folder);
    const auto disk = store.note(storage::kDiskIdentityNote);
    if (disk.empty()) throw std::runtime_error("the store in " + folder + " has no disk identity yet");
    printFoundPreview(store);
    if (!confirmed) {
        std::printf("Nothing was written. With --yes %s becomes the only member of a new epoch.\n",
                    address.c_str());
        return;
    }
    consensus::EpochState previous;
    if (const auto note = store.note(storage::kEpochStateNote); !note.empty())
        previous = membership::decodeEpochState(membership::Json::parse(note));
    const consensus::Epoch epoch{previous.epoch.number + kEpochStep, {{address, disk, "", ""}}};
    store.write({}, {{storage::kEpochStateNote,
                      membership::encode(consensus::EpochState{epoch, true, {}, {}}).dump()}});
    std::printf(
        "written: epoch %llu with %s as its only member; start it, then the others, which join "
        "as standbys and are added.\n",
        static_cast<unsigned long long>(epoch.number), address.c_str());
}

/// Opens the store, which checks each record's checksum.
void checkStore(const std::string& folder) {
    const auto store = openStore(folder);
    std::printf("%zu keys, all checksums right, %s\n", store.states().size(), formatMembers(store).c_str());
}

/// Prints the configuration as the operator sent it.
void exportConfiguration(const std::string& folder) {
    for (const auto& [key, state] : openStore(folder).states())
        if (isConfiguration(key, state)) std::printf("%s\n", admin::body(state.value).c_str());
}

void showStore(const std::string& folder) {
    const auto store = openStore(folder);
    for (const auto& [key, state] : store.states()) {
        const bool configuration = isConfiguration(key, state);
        const auto value = configuration ? admin::body(state.value) : state.value;
        std::printf("%s: accepted %s, promised %s, %zu bytes on disk", key.c_str(),
                    formatProposalNumber(state.accepted).c_str(),
                    formatProposalNumber(state.promised).c_str(), state.value.size());
        if (configuration)
            std::printf(", version %s, %zu bytes as sent, requests remembered%s\n",
                        config::formatVersion(admin::version(state.value)).c_str(), value.size(),
                        formatHistory(state.value).c_str());
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
    auto* store =
        app.add_subcommand("store", "inspect or repair the store of a stopped control plane process");
    store
        ->add_option("operation", arguments->operation,
                     "show, check, export (the configuration as it was sent), or found (start a new epoch "
                     "from this disk alone, after the permanent loss of a majority of the members)")
        ->required()
        ->check(CLI::IsMember({"show", "check", "export", "found"}));
    store->add_option("folder", arguments->folder, "directory of the store, data_dir/promptbook")->required();
    store->add_option("--address", arguments->address,
                      "found: address of this machine with its first internal port, such as 10.1.0.16:7720");
    store->add_flag("--yes", arguments->confirmed,
                    "found: write the new epoch; without it, only print what may be lost");
    store->footer("Example:\n  lichenlanding-gateway store found data/promptbook --address 10.1.0.16:7720");
    store->callback([=, &action] {
        if (arguments->operation == "found" && arguments->address.empty())
            throw CLI::RequiredError("--address");
        action = [=] {
            const auto& [operation, folder, address, confirmed] = *arguments;
            if (operation == "show") showStore(folder);
            if (operation == "check") checkStore(folder);
            if (operation == "export") exportConfiguration(folder);
            if (operation == "found") foundEpoch(folder, address, confirmed);
        };
    });
}

}  // namespace lichenlanding::command
