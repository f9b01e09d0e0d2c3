#include "metadata/uptane.hpp"

#include "metadata/attested_builds.hpp"
#include "support/metadata_repository.hpp"
#include "support/trace.hpp"

using namespace metadata_fixture;

namespace {

Json customOf(const std::string& unit, const std::string& hardware, std::int64_t counter) {
    return {{"ecuIdentifier", unit}, {"hardwareId", hardware}, {"releaseCounter", counter}};
}

// A director and an image repository, and the primary's clients of both.
struct Fleet {
    Repository director, images;
    Client directorClient{director.firstRoot()}, imageClient{images.firstRoot()};

    void offer(const std::string& path, const std::string& bytes, const std::string& unit,
               std::int64_t counter) {
        director.target("targets", path, bytes, customOf(unit, "m2", counter));
        images.target("targets", path, bytes, {{"hardwareId", "m2"}, {"releaseCounter", counter}});
    }
    Result<std::map<std::string, uptane::Directive>> directives() {
        director.publish();
        images.publish();
        directorClient.update(director.files);
        auto set = TrustedSet::start(directorClient.stored.files.at("root.json"), kStart + 60);
        set->timestamp(directorClient.stored.files.at("timestamp.json"));
        set->snapshot(directorClient.stored.files.at("snapshot.json"));
        set->targets(directorClient.stored.files.at("targets.json"));
        return uptane::readDirectives(*set->trusted());
    }
    std::map<std::string, std::optional<FoundTarget>> found(const std::vector<std::string>& paths) {
        imageClient.update(images.files, kStart + 60, paths);
        return imageClient.found;
    }
};

std::string resultText(const Check& refusal) { return refusal ? refusal->text() : "accepted"; }

}  // namespace

TEST_CASE("director and image repository must agree, and a unit accepts only its own directives") {
    std::stringstream trace;
    Fleet fleet;
    fleet.offer("releases/42", "image 42", "pods-a", 42);
    auto directives = fleet.directives();
    REQUIRE(directives);
    const auto directive = directives->at("pods-a");
    trace << "agreed: "
          << resultText(uptane::verifyAgreement(directive, fleet.found({"releases/42"}).at("releases/42")))
          << '\n';
    const auto changeImages = [&](const char* what, const std::function<void(Repository&)>& change) {
        Fleet changedFleet = fleet;
        change(changedFleet.images);
        changedFleet.images.publish();
        trace << what << ": "
              << resultText(uptane::verifyAgreement(directive,
                                                    changedFleet.found({"releases/42"}).at("releases/42")))
              << '\n';
    };
    changeImages("another image", [](auto& images) {
        images.target("targets", "releases/42", "image 4x", {{"hardwareId", "m2"}});
    });
    changeImages("a longer one",
                 [](auto& images) { images.target("targets", "releases/42", "image 42 and more"); });
    changeImages("other hardware", [](auto& images) {
        images.target("targets", "releases/42", "image 42", {{"hardwareId", "m3"}});
    });
    changeImages("another counter", [](auto& images) {
        images.target("targets", "releases/42", "image 42", {{"releaseCounter", 7}});
    });
    changeImages("no such image", [](auto& images) {
        removeTarget(images.role("targets"), "releases/42");
        images.markChanged("targets");
    });
    trace << "for another unit: " << resultText(uptane::checkInstallable(directive, {"pods-b", "m2", 1}))
          << '\n';
    trace << "for other hardware: " << resultText(uptane::checkInstallable(directive, {"pods-a", "m9", 1}))
          << '\n';
    trace << "older than installed: " << resultText(uptane::checkInstallable(directive, {"pods-a", "m2", 43}))
          << '\n';
    trace << "the same again: " << resultText(uptane::checkInstallable(directive, {"pods-a", "m2", 42}))
          << '\n';
    const auto changeDirector = [&](const char* what, const std::function<void(Repository&)>& change) {
        Fleet changedFleet = fleet;
        change(changedFleet.director);
        const auto all = changedFleet.directives();
        trace << what << ": " << (all ? "accepted" : all.refusal().text()) << '\n';
    };
    changeDirector("two directives for a unit", [](auto& director) {
        director.target("targets", "releases/43", "x", customOf("pods-a", "m2", 43));
    });
    changeDirector("no unit", [](auto& director) { director.target("targets", "releases/43", "x"); });
    changeDirector("a counter below zero", [](auto& director) {
        director.target("targets", "releases/43", "x", customOf("pods-b", "m2", -1));
    });
    changeDirector("a director that delegates",
                   [](auto& director) { director.delegateTo("targets", "other", {"*"}); });
    matchesTrace("uptane", trace.str());
}

TEST_CASE("a secondary verifies the director's targets and never accepts an older image") {
    std::stringstream trace;
    Fleet fleet;
    fleet.offer("releases/42", "image 42", "pods-a", 42);
    fleet.director.publish();
    const auto& key = fleet.director.keys.at("targets").key();
    Keys keys;
    keys.emplace(key.id(), key);
    uptane::Secondary unit({"pods-a", "m2", 41}, keys, {{key.id()}, 1});
    const auto accept = [&](const char* what, const std::string& bytes, UnixSeconds now = kStart) {
        const auto directive = unit.targets(bytes, now);
        trace << what << ": " << (directive ? "takes " + directive->path : directive.refusal().text())
              << '\n';
    };
    trace << "before any: " << resultText(unit.install("image 42")) << '\n';
    const auto second = fleet.director.files.at("2.targets.json");
    accept("its directive", second);
    trace << "another image: " << resultText(unit.install("image 4x")) << '\n';
    trace << "a longer one: " << resultText(unit.install("image 42 ")) << '\n';
    trace << "the image: " << resultText(unit.install("image 42")) << ", runs counter "
          << unit.installed().releaseCounter << '\n';
    accept("older targets", fleet.director.files.at("1.targets.json"));
    accept("expired targets", second, kStart + 90 * kDay);
    auto forged = fleet.director.role("targets");
    bumpVersion(forged, kStart + 900 * kDay);
    sign(forged, SigningKey::generate(Scheme::ed25519));
    accept("targets signed by a stranger", textOf(forged));
    fleet.director.target("targets", "releases/42", "image 40", customOf("pods-a", "m2", 40));
    fleet.director.publish();
    accept("a directive to go back", fleet.director.files.at("3.targets.json"));
    fleet.director.target("targets", "releases/42", "image 44", customOf("pods-b", "m2", 44));
    fleet.director.publish();
    accept("a directive for another", fleet.director.files.at("4.targets.json"));
    matchesTrace("uptane-secondary", trace.str());
}

TEST_CASE("a manifest holds the reports of all units, each signed with the unit's key") {
    std::stringstream trace;
    const auto primary = SigningKey::generate(Scheme::ed25519);
    const auto a = SigningKey::generate(Scheme::ecdsaP256);
    const auto b = SigningKey::generate(Scheme::ed25519);
    const std::map<std::string, Key> known{{"pods-a", a.key()}, {"pods-b", b.key()}};
    const uptane::UnitReport one{"pods-a", "releases/42", 42, {{"sha256", "00"}}, kStart, ""};
    const uptane::UnitReport two{"pods-b", "releases/41", 41, {{"sha256", "11"}}, kStart, "rollback"};
    const auto play = [&](const char* what, const Json& manifest) {
        const auto read = uptane::readManifest(textOf(manifest), primary.key(), known);
        trace << what << ": ";
        if (!read) trace << maskVolatile(read.refusal().text());
        else
            for (const auto& report : *read)
                trace << report.unit << " runs " << report.path << " (" << report.releaseCounter << ")"
                      << (report.attack.empty() ? "" : ", saw " + report.attack) << "; ";
        trace << '\n';
    };
    const auto whole =
        uptane::manifest("register", "n0", {uptane::report(one, a), uptane::report(two, b)}, primary);
    play("whole", whole);
    play("by another primary", uptane::manifest("register", "n0", {uptane::report(one, a)}, b));
    play("a unit under another's key", uptane::manifest("register", "n0", {uptane::report(one, b)}, primary));
    play("a unit twice",
         uptane::manifest("register", "n0", {uptane::report(one, a), uptane::report(one, a)}, primary));
    play(
        "an unknown unit",
        uptane::manifest("register", "n0", {uptane::report({"pods-c", "x", 1, {}, kStart, ""}, a)}, primary));
    auto tampered = whole;
    tampered["signed"]["ecuVersionReports"][0]["signed"]["installedImage"]["releaseCounter"] = 99;
    play("changed on the way", tampered);
    matchesTrace("uptane-manifest", trace.str());
}

TEST_CASE("attestations of builds: listed, no longer listed, withdrawn, expired") {
    std::stringstream trace;
    static const char* names[] = {"none", "valid", "withdrawn"};
    Repository repository;
    Client client(repository.firstRoot());
    AttestedBuilds builds("releases/{build}");
    for (int build : {41, 42, 43}) builds.track(build);
    CHECK(!builds.track(42));
    const auto updateBuilds = [&](const char* what) {
        repository.publish();
        client.update(repository.files, kStart + 60, builds.paths());
        trace << what << ":";
        for (const auto& [build, attestation] : builds.update(client.found, kStart + kDay))
            trace << ' ' << build << ' ' << names[static_cast<int>(attestation)];
        trace << '\n';
    };
    repository.target("targets", "releases/41", "41");
    repository.target("targets", "releases/42", "42");
    updateBuilds("two listed");
    updateBuilds("no change");
    repository.target("targets", "releases/42", "42", {{"withdrawn", true}});
    updateBuilds("one marked");
    removeTarget(repository.role("targets"), "releases/41");
    repository.markChanged("targets");
    updateBuilds("one gone");
    repository.target("targets", "releases/42", "42");
    repository.target("targets", "releases/43", "43");
    updateBuilds("back, and another");
    const auto serialized = builds.serialize();
    trace << "kept: " << serialized << '\n';
    AttestedBuilds restarted("releases/{build}");
    restarted.restore(serialized);
    restarted.restore("no JSON");
    trace << "after a restart:";
    for (const auto& [build, attestation] : restarted.update(client.found, kStart + kDay))
        trace << ' ' << build << ' ' << names[static_cast<int>(attestation)];
    trace << "\nrun out a second early:";
    for (const auto& [build, attestation] : builds.expire(kStart + kDay - 1))
        trace << ' ' << build << ' ' << names[static_cast<int>(attestation)];
    trace << "\nrun out:";
    for (const auto& [build, attestation] : builds.expire(kStart + kDay))
        trace << ' ' << build << ' ' << names[static_cast<int>(attestation)];
    trace << "\nrun out, again:";
    for (const auto& [build, attestation] : builds.expire(kStart + kDay))
        trace << ' ' << build << ' ' << names[static_cast<int>(attestation)];
    trace << '\n';
    for (int build = 100; build < 140; ++build) builds.track(build);
    trace << "looks after " << builds.paths().front() << " to " << builds.paths().back() << ", "
          << builds.paths().size() << '\n';
    CHECK_THROWS_AS(AttestedBuilds("releases"), std::invalid_argument);
    CHECK_THROWS_AS(AttestedBuilds("{build}/{build}"), std::invalid_argument);
    matchesTrace("builds", trace.str());
}
