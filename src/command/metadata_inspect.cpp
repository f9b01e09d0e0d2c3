// lichenlanding metadata inspect: prints a metadata document and the state of its signatures.
#include <cstdio>

#include "command/command.hpp"
#include "metadata/role.hpp"

namespace lichenlanding::command {
namespace {

using namespace metadata;

std::string formatSigners(const Envelope& envelope, const Keys& keys, const Signers& signers) {
    std::string line = std::to_string(envelope.countSigners(keys, {signers.keyIds, 1'000'000})) +
                       " good of " + std::to_string(signers.threshold) + " needed:";
    for (const auto& id : signers.keyIds) {
        const auto key = keys.find(id);
        const auto signature = envelope.signatures.find(id);
        const bool valid = key != keys.end() && signature != envelope.signatures.end() &&
                           key->second.verifies(envelope.bytes, signature->second);
        line += " " + id.substr(0, 12) +
                (valid                                    ? " signed"
                 : signature == envelope.signatures.end() ? " missing"
                                                          : " bad");
    }
    return line;
}

int inspect(const std::string& file, const std::string& rootFile, bool json) {
    const auto bytes = readFile(file);
    const auto parsed = parseJson(bytes, 64U << 20);
    if (!parsed) throw std::runtime_error(file + ": " + parsed.refusal().text());
    const auto* document = member(*parsed, "signed", Json::value_t::object);
    const auto* type = document ? textMember(*document, "_type") : nullptr;
    if (!type) throw std::runtime_error(file + ": no object \"signed\" with a string \"_type\"");
    auto envelope = Envelope::read(bytes, *type, *type, bytes.size());
    if (!envelope) throw std::runtime_error(file + ": " + envelope.refusal().text());
    if (json) {
        std::printf("%s\n", envelope->document.dump(2).c_str());
        return success;
    }
    std::printf("%s, version %lld, until %s, %zu bytes\n", type->c_str(),
                static_cast<long long>(envelope->version), formatTime(envelope->expires).c_str(),
                bytes.size());
    const auto rootBytes = *type == "root" ? bytes : rootFile.empty() ? std::string() : readFile(rootFile);
    if (!rootBytes.empty()) {
        const auto rootEnvelope = Envelope::read(rootBytes, "root", "root", rootBytes.size());
        const auto root = rootEnvelope ? Root::read(*rootEnvelope) : Result<Root>(rootEnvelope.refusal());
        if (!root) throw std::runtime_error(rootFile + ": " + root.refusal().text());
        if (root->roles.contains(*type))
            std::printf("signatures: %s\n",
                        formatSigners(*envelope, root->keys, root->roles.at(*type)).c_str());
        if (*type == "root") {
            std::printf("consistent snapshots: %s\n", root->consistent ? "yes" : "no");
            for (const auto& [role, signers] : root->roles)
                std::printf("  %s: %zu keys, %lld needed\n", role.c_str(), signers.keyIds.size(),
                            static_cast<long long>(signers.threshold));
        }
    }
    if (*type == "targets") {
        const auto targets = Targets::read(*envelope, "targets");
        if (!targets) throw std::runtime_error(file + ": " + targets.refusal().text());
        std::printf("%zu targets\n", targets->targets.size());
        for (const auto& [path, target] : targets->targets)
            std::printf("  %s, %lld bytes\n", escaped(path).c_str(), static_cast<long long>(target.length));
        for (const auto& delegation : targets->delegations)
            std::printf("  delegates to %s%s\n", escaped(delegation.name).c_str(),
                        delegation.terminating ? ", terminating" : "");
        if (targets->bins)
            std::printf("  delegates to %lld hash bins %s-...\n", 1LL << targets->bins->bits,
                        targets->bins->prefix.c_str());
    }
    if (*type == "snapshot" || *type == "timestamp")
        for (const auto& [name, entry] : envelope->document["meta"].items())
            std::printf("  %s, version %lld\n", escaped(name).c_str(),
                        static_cast<long long>(entry.value("version", 0)));
    return success;
}

}  // namespace

void addMetadataInspect(CLI::App& metadata, SelectedCommand& selected) {
    auto* command = metadata.add_subcommand("inspect", "show a document and its signatures");
    auto file = std::make_shared<std::string>();
    auto root = std::make_shared<std::string>();
    auto json = std::make_shared<bool>(false);
    command->add_option("FILE", *file, "the document")->required();
    command->add_option("--root", *root, "the root whose keys must have signed it");
    command->add_flag("--json", *json, "print only the signed part, as JSON");
    command->footer("Example:\n  lichenlanding metadata inspect --root root.json timestamp.json");
    command->callback([=, &selected] { selected = [=] { return inspect(*file, *root, *json); }; });
}

}  // namespace lichenlanding::command
