// lichenlanding metadata unit | report | manifest | audit: Uptane's side of a unit, a primary and a director,
// from the command line. docs/design/metadata.md tells what these stand for in a fleet of pods.
#include <cstdio>

#include "command/command.hpp"
#include "metadata/uptane.hpp"

namespace lichenlanding::command {
namespace {

using namespace metadata;

struct Wish {
    std::string root, targets, image, unit, hardware, path, key, out, file, passphraseFile, now, attack,
        fleet, primary;
    std::vector<std::string> files;
    std::int64_t counter = 0;
};

UnixSeconds nowOf(const Wish& wish) { return wish.now.empty() ? wallClock() : readInstant(wish.now); }

int told(const Refusal& refusal) { throw std::runtime_error(refusal.text()); }

// Partial verification: the director's targets by the keys that its root names.
int unit(const Wish& wish) {
    const auto set = TrustedSet::start(readFile(wish.root), nowOf(wish));
    if (!set) return told(set.refusal());
    uptane::Secondary unit({wish.unit, wish.hardware, wish.counter}, set->root().keys,
                           set->root().roles.at("targets"));
    const auto directive = unit.targets(readFile(wish.targets), nowOf(wish));
    if (!directive) return told(directive.refusal());
    std::printf("%s, release counter %lld\n", escaped(directive->path).c_str(),
                static_cast<long long>(directive->releaseCounter));
    if (wish.image.empty()) return success;
    orThrow(unit.install(readFile(wish.image)));
    std::printf("the image is the one directed\n");
    return success;
}

int report(const Wish& wish) {
    const auto image = readFile(wish.image);
    const auto key = readSigningKey(wish.key, readPassphrase(wish.passphraseFile));
    writeFile(wish.out, uptane::report({wish.unit,
                                        wish.path,
                                        wish.counter,
                                        {{"sha256", digest("sha256", image)}},
                                        nowOf(wish),
                                        wish.attack},
                                       key)
                                .dump(1) +
                            "\n");
    return success;
}

int manifest(const Wish& wish) {
    std::vector<Json> reports;
    for (const auto& file : wish.files) {
        auto read = parseJson(readFile(file), 1u << 20);
        if (!read) throw std::runtime_error(file + ": " + read.refusal().text());
        reports.push_back(std::move(*read));
    }
    const auto key = readSigningKey(wish.key, readPassphrase(wish.passphraseFile));
    writeFile(wish.out, uptane::manifest(wish.fleet, wish.primary, reports, key).dump(1) + "\n");
    return success;
}

int audit(const Wish& wish) {
    std::map<std::string, Key> units;
    for (const auto& pair : wish.files) {
        const auto equals = pair.find('=');
        if (equals == pair.npos) throw std::runtime_error("--unit-key " + pair + ": UNIT=FILE is wanted");
        units.emplace(pair.substr(0, equals), readPublicKey(pair.substr(equals + 1), {}));
    }
    const auto read = uptane::readManifest(readFile(wish.file), readPublicKey(wish.key, {}), units);
    if (!read) return told(read.refusal());
    for (const auto& one : *read)
        std::printf("%s runs %s, release counter %lld, told at %s%s\n", escaped(one.unit).c_str(),
                    escaped(one.path).c_str(), static_cast<long long>(one.releaseCounter),
                    formatTime(one.at).c_str(),
                    one.attack.empty() ? "" : (", refused " + escaped(one.attack)).c_str());
    return success;
}

}  // namespace

void addMetadataManifest(CLI::App& metadata, Chosen& chosen) {
    auto wish = std::make_shared<Wish>();
    const auto subcommand = [&](const char* name, const char* what, int (*call)(const Wish&)) {
        auto* command = metadata.add_subcommand(name, what);
        command->callback([wish, call, &chosen] { chosen = [wish, call] { return call(*wish); }; });
        return command;
    };
    auto* verify = subcommand("unit", "verify the director's word for one unit, as a secondary does", unit);
    verify->add_option("--director-root", wish->root, "the director's root")->required();
    verify->add_option("--targets", wish->targets, "the director's targets")->required();
    verify->add_option("--unit", wish->unit, "its identifier")->required();
    verify->add_option("--hardware", wish->hardware, "its hardware id")->required();
    verify->add_option("--release-counter", wish->counter, "of what it runs");
    verify->add_option("--image", wish->image, "the image to install, verified too");
    verify->add_option("--now", wish->now, "the time, RFC 3339");
    auto* tell = subcommand("report", "sign what a unit runs", report);
    tell->add_option("--unit", wish->unit, "its identifier")->required();
    tell->add_option("--path", wish->path, "the image's path")->required();
    tell->add_option("--image", wish->image, "the image's file")->required();
    tell->add_option("--release-counter", wish->counter, "its release counter")->required();
    tell->add_option("--attack", wish->attack, "what it refused last");
    tell->add_option("--now", wish->now, "the time, RFC 3339");
    auto* bundle = subcommand("manifest", "sign all units' reports as their primary", manifest);
    bundle->add_option("REPORT", wish->files, "signed reports")->required();
    bundle->add_option("--fleet", wish->fleet, "the vehicle's identifier: the fleet's")->required();
    bundle->add_option("--primary", wish->primary, "the primary's identifier: the sidecar's")->required();
    for (auto* command : {tell, bundle}) {
        command->add_option("--key", wish->key, "the signer's private key")->required();
        command->add_option("--passphrase-file", wish->passphraseFile, "its first line opens the key");
        command->add_option("--out", wish->out, "the file")->required();
    }
    auto* check = subcommand("audit", "verify a manifest and show what runs", audit);
    check->add_option("FILE", wish->file, "the manifest")->required();
    check->add_option("--key", wish->key, "the primary's public key")->required();
    check->add_option("--unit-key", wish->files, "UNIT=FILE, each unit's public key")->required()->take_all();
}

}  // namespace lichenlanding::command
