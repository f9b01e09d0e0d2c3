// A sidecar with signed metadata switched on, and stand-ins for its mirrors.
#pragma once

#include <unistd.h>

#include <filesystem>

#include "sidecar/metadata_refresh.hpp"
#include "support/metadata_repository.hpp"
#include "support/sidecar_fixture.hpp"

using namespace metadata_fixture;

inline UnixSeconds wall() {
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline std::string temporaryDirectory(const char* name) {
    const auto path = std::filesystem::temp_directory_path() /
                      ("lichenlanding-" + std::string(name) + "-" + std::to_string(getpid()));
    std::filesystem::remove_all(path);
    return path.string();
}

/// Each mirror serves `files` unless a script says otherwise.
struct TrustFixture : SidecarFixture {
    using Script = std::function<bool(HttpStandIn&, evhttp_request*,
                                      const std::string& name)>;  ///< true: it has responded

    explicit TrustFixture(int count = 1) : repository(true, wall()) {
        repository.target("targets", "releases/5", "five");
        repository.publish();
        files = repository.files;
        folder = temporaryDirectory("trust");
        std::ofstream(folder + ".root") << repository.firstRoot();
        scripts.resize(static_cast<std::size_t>(count));
        trust.emplace();
        trust->root = folder + ".root";
        trust->builds = "releases/{build}";
        trust->rhythm = {100 * kMs, 50 * kMs, 200 * kMs};
        for (int one = 0; one < count; ++one) {
            mirrors.push_back(std::make_unique<HttpStandIn>(loop, [this, one](auto& at, auto* call) {
                const std::string uri = evhttp_request_get_uri(call);
                const auto name = uri.substr(uri.rfind('/') + 1);
                const auto& script = scripts[static_cast<std::size_t>(one)];
                if (script && script(at, call, name)) return;
                if (uri.compare(0, 9, "/targets/") == 0) {
                    for (const auto& [path, bytes] : repository.contents)
                        if (uri == "/targets/releases/" + digest("sha256", bytes) +
                                       path.substr(8).replace(0, 1, "."))
                            return at.respond(call, 200, bytes);
                    return at.respond(call, 404, "");
                }
                const auto file = files.find(name);
                if (file == files.end()) at.respond(call, 404, "");
                else at.respond(call, 200, file->second);
            }));
            const auto address = mirrors.back()->address;
            trust->metadata.push_back({{address, "/metadata"}, false});
            trust->targets.push_back({{address, "/targets"}, false});
        }
    }
    ~TrustFixture() {
        sidecar.reset();
        std::filesystem::remove_all(folder);
        std::filesystem::remove(folder + ".root");
    }
    Attestation attestationOf(int build) { return sidecar->trust()->builds().attestationOf(build); }
    const sidecar::TrustManager::Counts& counts() { return sidecar->trust()->counts(); }
    /// Until another refresh is over; its refusal, or empty.
    std::string nextRefresh() {
        const auto asked = counts().refreshes;
        runUntil(
            [&] { return counts().refreshes >= asked + 2; });  // the second one saw what was set before it
        return sidecar->trust()->lastRefusal();
    }
    /// Few at once, so that none is rejected: each gets one response, a pod's.
    void sendRequests(int count) {
        for (int one = 0; one < count; ++one) {
            responses.push_back(sendRequest("read"));
            runUntil([&] { return responses.size() < 2 || responses[responses.size() - 2]->has_value(); });
        }
    }
    void finishRequests() {
        runUntil([&] {
            return std::all_of(responses.begin(), responses.end(),
                               [](auto& one) { return one->has_value(); });
        });
        for (const auto& one : responses) CHECK((*one)->statusCode == 200);
        runUntil([&] { return sidecar->requestsInFlight() == 0; });
        CHECK(counts().fetches.requested - counts().fetches.completed <= 1);
    }

    Repository repository;
    std::map<std::string, std::string> files;  // what mirrors serve
    std::string folder;
    std::vector<Script> scripts;
    std::vector<std::unique_ptr<HttpStandIn>> mirrors;
    std::vector<PendingResponse> responses;
};
