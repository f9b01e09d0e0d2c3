// lichenlanding metadata unit | report | manifest | audit: Uptane's side of a unit, a primary and a director,
// from the command line. docs/design/metadata.md tells what these stand for in a fleet of pods.
#include <cstdio>

#include "command/command.hpp"
#include "metadata/uptane.hpp"

namespace lichenlanding::command {
namespace {

using namespace metadata;

struct ManifestOptions {
    std::string root, targets, image, unit, hardware, path, key, out, file, passphraseFile, now, attack,
        fleet, primary;
    std::vector<std::string> files;
    std::int64_t counter = 0;
};

UnixSeconds nowOf(const ManifestOptions& options) {
    return options.now.empty() ? wallClock() : parseInstant(options.now);
}

int fail(const Refusal& refusal) { throw std::runtime_error(refusal.text()); }

// Partial verification: the director's targets by the keys that its root names.
int unit(const ManifestOptions& options) {
    const auto set = TrustedSet::start(readFile(options.root), nowOf(options));
    if (!set) return fail(set.refusal());
    uptane::Secondary unit({options.unit, options.hardware, options.counter}, set->root().keys,
                           set->root().roles.at("targets"));
    const auto directive = unit.targets(readFile(options.targets), nowOf(options));
    if (!directive) return fail(directive.refusal());
    std::printf("%s, release counter %lld\n", escaped(directive->path).c_str(),
                static_cast<long long>(directive->releaseCounter));
    if (options.image.empty()) return success;
    orThrow(unit.install(readFile(options.image)));
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
                                           nowOf(options),
                                           options.attack},
                                          key)
                                   .dump(1) +
                               "\n");
    return success;
}

int manifest(const ManifestOptions& options) {
    std::vector<Json> reports;
    for (const auto& file : options.files) {
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
    for (const auto& pair : options.files) {
        const auto equals = pair.find('=');
        if (equals == std::basic_string<char, std::char_traits<char>, std::allocator<char>>::npos)
            throw std::runtime_error("--unit-key " + pair + ": UNIT=FILE is wanted");
        units.emplace(pair.substr(0, equals), readPublicKey(pair.substr(equals + 1), {}));
    }
    const auto read = uptane::readManifest(readFile(options.file), readPublicKey(options.key, {}), units);
    if (!read) return fail(read.refusal());
    for (const auto& one : *read)
        std::printf("%s runs %s, release counter %lld, told at %s%s\n", escaped(one.unit).c_str(),
                    escaped(one.path).c_str(), static_cast<long long>(one.releaseCounter),
                    formatTime(one.at).c_str(),
                    one.attack.empty() ? "" : (", refused " + escaped(one.attack)).c_str());
    return success;
}

}  // namespace

void addMetadataManifest(CLI::App& metadata, Chosen& chosen) {
    auto options = std::make_shared<ManifestOptions>();
    const auto subcommand = [&](const char* name, const char* what, int (*call)(const ManifestOptions&)) {
        auto* command = metadata.add_subcommand(name, what);
        command->callback([options, call, &chosen] { chosen = [options, call] { return call(*options); }; });
        return command;
    };
    auto* verify = subcommand("unit", "verify the director's word for one unit, as a secondary does", unit);
    verify->add_option("--director-root", options->root, "the director's root")->required();
    verify->add_option("--targets", options->targets, "the director's targets")->required();
    verify->add_option("--unit", options->unit, "its identifier")->required();
    verify->add_option("--hardware", options->hardware, "its hardware id")->required();
    verify->add_option("--release-counter", options->counter, "of what it runs");
    verify->add_option("--image", options->image, "the image to install, verified too");
    verify->add_option("--now", options->now, "the time, RFC 3339");
    auto* tell = subcommand("report", "sign what a unit runs", report);
    tell->add_option("--unit", options->unit, "its identifier")->required();
    tell->add_option("--path", options->path, "the image's path")->required();
    tell->add_option("--image", options->image, "the image's file")->required();
    tell->add_option("--release-counter", options->counter, "its release counter")->required();
    tell->add_option("--attack", options->attack, "what it refused last");
    tell->add_option("--now", options->now, "the time, RFC 3339");
    auto* bundle = subcommand("manifest", "sign all units' reports as their primary", manifest);
    bundle->add_option("REPORT", options->files, "signed reports")->required();
    bundle->add_option("--fleet", options->fleet, "the vehicle's identifier: the fleet's")->required();
    bundle->add_option("--primary", options->primary, "the primary's identifier: the sidecar's")->required();
    for (auto* command : {tell, bundle}) {
        command->add_option("--key", options->key, "the signer's private key")->required();
        command->add_option("--passphrase-file", options->passphraseFile, "its first line opens the key");
        command->add_option("--out", options->out, "the file")->required();
    }
    auto* check = subcommand("audit", "verify a manifest and show what runs", audit);
    check->add_option("FILE", options->file, "the manifest")->required();
    check->add_option("--key", options->key, "the primary's public key")->required();
    check->add_option("--unit-key", options->files, "UNIT=FILE, each unit's public key")
        ->required()
        ->take_all();
}

}  // namespace lichenlanding::command
