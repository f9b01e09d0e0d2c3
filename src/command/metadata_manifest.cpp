// lichenlanding metadata unit | report | manifest | audit: the Uptane steps of a secondary, a primary and a
// director. docs/design/metadata.md describes how these roles map to a fleet of pods.
#include <cstdio>

#include "command/command.hpp"
#include "metadata/uptane.hpp"

namespace lichenlanding::command {
namespace {

using namespace metadata;

struct ManifestOptions {
    std::string root, targets, image, unit, hardware, path, key, out, file, passphraseFile, now, attack,
        fleet, primary;
    std::vector<std::string> arguments;
    std::int64_t counter = 0;
};

UnixSeconds currentTime(const ManifestOptions& options) {
    return options.now.empty() ? wallClock() : parseRfc3339(options.now);
}

int fail(const Refusal& refusal) { throw std::runtime_error(refusal.text()); }

// Partial verification: checks the director's targets with the keys that the director's root lists.
int unit(const ManifestOptions& options) {
    const auto set = TrustedSet::start(readFile(options.root), currentTime(options));
    if (!set) return fail(set.refusal());
    uptane::Secondary unit({options.unit, options.hardware, options.counter}, set->root().keys,
                           set->root().roles.at("targets"));
    const auto directive = unit.targets(readFile(options.targets), currentTime(options));
    if (!directive) return fail(directive.refusal());
    std::printf("%s, release counter %lld\n", escaped(directive->path).c_str(),
                static_cast<long long>(directive->releaseCounter));
    if (options.image.empty()) return success;
    throwIf(unit.install(readFile(options.image)));
    std::printf("the image is the one directed\n");
    return success;
}

int report(const ManifestOptions& options) {
    const auto image = readFile(options.image);
    const auto key = readSigningKey(options.key, readPassphrase(options.passphraseFile));
    writeFile(options.out, uptane::report({options.unit,
                                           options.path,
                                           options.counter,
                                           {{"sha256", digest("sha256", image)}},
                                           currentTime(options),
                                           options.attack},
                                          key)
                                   .dump(1) +
                               "\n");
    return success;
}

int manifest(const ManifestOptions& options) {
    std::vector<Json> reports;
    for (const auto& file : options.arguments) {
        auto read = parseJson(readFile(file), 1U << 20);
        if (!read) throw std::runtime_error(file + ": " + read.refusal().text());
        reports.push_back(std::move(*read));
    }
    const auto key = readSigningKey(options.key, readPassphrase(options.passphraseFile));
    writeFile(options.out, uptane::manifest(options.fleet, options.primary, reports, key).dump(1) + "\n");
    return success;
}

int audit(const ManifestOptions& options) {
    std::map<std::string, Key> units;
    for (const auto& argument : options.arguments) {
        const auto separator = argument.find('=');
        if (separator == std::basic_string<char, std::char_traits<char>, std::allocator<char>>::npos)
            throw std::runtime_error("--unit-key " + argument + ": expected UNIT=FILE");
        units.emplace(argument.substr(0, separator), readPublicKey(argument.substr(separator + 1), {}));
    }
    const auto read = uptane::readManifest(readFile(options.file), readPublicKey(options.key, {}), units);
    if (!read) return fail(read.refusal());
    for (const auto& unitReport : *read)
        std::printf("%s runs %s, release counter %lld, reported at %s%s\n", escaped(unitReport.unit).c_str(),
                    escaped(unitReport.path).c_str(), static_cast<long long>(unitReport.releaseCounter),
                    formatTime(unitReport.at).c_str(),
                    unitReport.attack.empty() ? "" : (", refused " + escaped(unitReport.attack)).c_str());
    return success;
}

}  // namespace

void addMetadataManifest(CLI::App& metadata, SelectedCommand& selected) {
    auto options = std::make_shared<ManifestOptions>();
    const auto subcommand = [&](const char* name, const char* description,
                                int (*handler)(const ManifestOptions&)) {
        auto* command = metadata.add_subcommand(name, description);
        command->callback(
            [options, handler, &selected] { selected = [options, handler] { return handler(*options); }; });
        return command;
    };
    auto* unitCommand =
        subcommand("unit", "verify the director's targets for one unit, as an Uptane secondary", unit);
    unitCommand->add_option("--director-root", options->root, "the director's root")->required();
    unitCommand->add_option("--targets", options->targets, "the director's targets")->required();
    unitCommand->add_option("--unit", options->unit, "identifier of the unit")->required();
    unitCommand->add_option("--hardware", options->hardware, "hardware id of the unit")->required();
    unitCommand->add_option("--release-counter", options->counter, "release counter of the installed image");
    unitCommand->add_option("--image", options->image, "the image to install; verified too");
    unitCommand->add_option("--now", options->now, "the time, RFC 3339");
    auto* reportCommand = subcommand("report", "sign a report of the image that a unit runs", report);
    reportCommand->add_option("--unit", options->unit, "identifier of the unit")->required();
    reportCommand->add_option("--path", options->path, "target path of the image")->required();
    reportCommand->add_option("--image", options->image, "the image file")->required();
    reportCommand->add_option("--release-counter", options->counter, "release counter of the image")
        ->required();
    reportCommand->add_option("--attack", options->attack, "the attack that the unit detected last");
    reportCommand->add_option("--now", options->now, "the time, RFC 3339");
    auto* manifestCommand =
        subcommand("manifest", "sign the reports of all units as their primary", manifest);
    manifestCommand->add_option("REPORT", options->arguments, "signed reports")->required();
    manifestCommand->add_option("--fleet", options->fleet, "identifier of the vehicle, here the fleet")
        ->required();
    manifestCommand->add_option("--primary", options->primary, "identifier of the primary, here the sidecar")
        ->required();
    for (auto* command : {reportCommand, manifestCommand}) {
        command->add_option("--key", options->key, "the signer's private key")->required();
        command->add_option("--passphrase-file", options->passphraseFile,
                            "file whose first line decrypts the key");
        command->add_option("--out", options->out, "the output file")->required();
    }
    auto* auditCommand = subcommand("audit", "verify a manifest and list what each unit runs", audit);
    auditCommand->add_option("FILE", options->file, "the manifest")->required();
    auditCommand->add_option("--key", options->key, "the primary's public key")->required();
    auditCommand
        ->add_option("--unit-key", options->arguments,
                     "UNIT=FILE, public key of a unit; repeat for each unit")
        ->required()
        ->take_all();
}

}  // namespace lichenlanding::command
