#include "metadata/uptane.hpp"

#include "metadata/attested_builds.hpp"
#include "support/metadata_repository.hpp"
#include "support/trace.hpp"

using namespace metadata_fixture;

namespace {

Json customOf(const std::string& unit, const std::string& hardware, std::int64_t counter) {
    return {{"ecuIdentifier", unit}, {"hardwareId", hardware}, {"releaseCounter", counter}};
}

// A director and an image repository, and a primary that asks both.
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

std::string word(const Check& refusal) { return refusal ? refusal->text() : "accepted"; }

}  // namespace

TEST_CASE("director and image repository must agree, and a unit takes only what is for it") {
    std::stringstream trace;
    Fleet fleet;
    fleet.offer("releases/42", "image 42", "pods-a", 42);
    auto named = fleet.directives();
    REQUIRE(named);
    const auto directive = named->at("pods-a");
    trace << "agreed: "
          << word(uptane::verifyAgreement(directive, fleet.found({"releases/42"}).at("releases/42"))) << '\n';
    const auto differs = [&](const char* what, const std::function<void(Repository&)>& change) {
        Fleet other = fleet;
        change(other.images);
        other.images.publish();
        trace << what << ": "
              << word(uptane::verifyAgreement(directive, other.found({"releases/42"}).at("releases/42")))
              << '\n';
    };
    differs("another image", [](auto& images) {
        images.target("targets", "releases/42", "image 4x", {{"hardwareId", "m2"}});
    });
    differs("a longer one",
            [](auto& images) { images.target("targets", "releases/42", "image 42 and more"); });
    differs("other hardware", [](auto& images) {
        images.target("targets", "releases/42", "image 42", {{"hardwareId", "m3"}});
    });
    differs("another counter", [](auto& images) {
        images.target("targets", "releases/42", "image 42", {{"releaseCounter", 7}});
    });
    differs("no such image", [](auto& images) {
        removeTarget(images.role("targets"), "releases/42");
        images.markChanged("targets");
    });
    trace << "for another unit: " << word(uptane::checkInstallable(directive, {"pods-b", "m2", 1})) << '\n';
    trace << "for other hardware: " << word(uptane::checkInstallable(directive, {"pods-a", "m9", 1})) << '\n';
    trace << "older than installed: " << word(uptane::checkInstallable(directive, {"pods-a", "m2", 43}))
          << '\n';
    trace << "the same again: " << word(uptane::checkInstallable(directive, {"pods-a", "m2", 42})) << '\n';
    const auto spoilt = [&](const char* what, const std::function<void(Repository&)>& change) {
        Fleet other = fleet;
        change(other.director);
        const auto all = other.directives();
        trace << what << ": " << (all ? "accepted" : all.refusal().text()) << '\n';
    };
    spoilt("two directives for a unit", [](auto& director) {
        director.target("targets", "releases/43", "x", customOf("pods-a", "m2", 43));
    });
    spoilt("no unit", [](auto& director) { director.target("targets", "releases/43", "x"); });
    spoilt("a counter below zero", [](auto& director) {
        director.target("targets", "releases/43", "x", customOf("pods-b", "m2", -1));
    });
    spoilt("a director that delegates",
           [](auto& director) { director.delegateTo("targets", "other", {"*"}); });
    matchesTrace("uptane", trace.str());
}

TEST_CASE("a secondary verifies the director's targets alone, and never takes an older image") {
    std::stringstream trace;
    Fleet fleet;
    fleet.offer("releases/42", "image 42", "pods-a", 42);
    fleet.director.publish();
    const auto& key = fleet.director.keys.at("targets").key();
    Keys keys;
    keys.emplace(key.id(), key);
    uptane::Secondary unit({"pods-a", "m2", 41}, keys, {{key.id()}, 1});
    const auto take = [&](const char* what, const std::string& bytes, UnixSeconds now = kStart) {
        const auto taken = unit.targets(bytes, now);
        trace << what << ": " << (taken ? "takes " + taken->path : taken.refusal().text()) << '\n';
    };
    trace << "before any: " << word(unit.install("image 42")) << '\n';
    const auto second = fleet.director.files.at("2.targets.json");
    take("its directive", second);
    trace << "another image: " << word(unit.install("image 4x")) << '\n';
    trace << "a longer one: " << word(unit.install("image 42 ")) << '\n';
    trace << "the image: " << word(unit.install("image 42")) << ", runs counter "
          << unit.installed().releaseCounter << '\n';
    take("older targets", fleet.director.files.at("1.targets.json"));
    take("expired targets", second, kStart + 90 * kDay);
    auto forged = fleet.director.role("targets");
    bumpVersion(forged, kStart + 900 * kDay);
    sign(forged, SigningKey::generate(Scheme::ed25519));
    take("targets signed by a stranger", textOf(forged));
    fleet.director.target("targets", "releases/42", "image 40", customOf("pods-a", "m2", 40));
    fleet.director.publish();
    take("a directive to go back", fleet.director.files.at("3.targets.json"));
    fleet.director.target("targets", "releases/42", "image 44", customOf("pods-b", "m2", 44));
    fleet.director.publish();
    take("a directive for another", fleet.director.files.at("4.targets.json"));
    matchesTrace("uptane-secondary", trace.str());
}

TEST_CASE("a manifest tells what runs, each unit under its own key") {
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
    auto spoilt = whole;
    spoilt["signed"]["ecuVersionReports"][0]["signed"]["installedImage"]["releaseCounter"] = 99;
    play("changed on the way", spoilt);
    matchesTrace("uptane-manifest", trace.str());
}

TEST_CASE("what is told of builds: listed, listed no more, withdrawn, run out") {
    std::stringstream trace;
    static const char* words[] = {"none", "valid", "withdrawn"};
    Repository repository;
    Client client(repository.firstRoot());
    AttestedBuilds builds("releases/{build}");
    for (int build : {41, 42, 43}) builds.track(build);
    CHECK(!builds.track(42));
    const auto look = [&](const char* what) {
        repository.publish();
        client.update(repository.files, kStart + 60, builds.paths());
        trace << what << ":";
        for (const auto& [build, word] : builds.update(client.found, kStart + kDay))
            trace << ' ' << build << ' ' << words[static_cast<int>(word)];
        trace << '\n';
    };
    repository.target("targets", "releases/41", "41");
    repository.target("targets", "releases/42", "42");
    look("two listed");
    look("no change");
    repository.target("targets", "releases/42", "42", {{"withdrawn", true}});
    look("one marked");
    removeTarget(repository.role("targets"), "releases/41");
    repository.markChanged("targets");
    look("one gone");
    repository.target("targets", "releases/42", "42");
    repository.target("targets", "releases/43", "43");
    look("back, and another");
    const auto kept = builds.serialize();
    trace << "kept: " << kept << '\n';
    AttestedBuilds restarted("releases/{build}");
    restarted.restore(kept);
    restarted.restore("no JSON");
    trace << "after a restart:";
    for (const auto& [build, word] : restarted.update(client.found, kStart + kDay))
        trace << ' ' << build << ' ' << words[static_cast<int>(word)];
    trace << "\nrun out a second early:";
    for (const auto& [build, word] : builds.expire(kStart + kDay - 1))
        trace << ' ' << build << ' ' << words[static_cast<int>(word)];
    trace << "\nrun out:";
    for (const auto& [build, word] : builds.expire(kStart + kDay))
        trace << ' ' << build << ' ' << words[static_cast<int>(word)];
    trace << "\nrun out, again:";
    for (const auto& [build, word] : builds.expire(kStart + kDay))
        trace << ' ' << build << ' ' << words[static_cast<int>(word)];
    trace << '\n';
    for (int build = 100; build < 140; ++build) builds.track(build);
    trace << "looks after " << builds.paths().front() << " to " << builds.paths().back() << ", "
          << builds.paths().size() << '\n';
    CHECK_THROWS_AS(AttestedBuilds("releases"), std::invalid_argument);
    CHECK_THROWS_AS(AttestedBuilds("{build}/{build}"), std::invalid_argument);
    matchesTrace("builds", trace.str());
}
