// A sidecar with signed metadata enabled, and test servers as its mirrors.
#pragma once

#include <unistd.h>

#include <filesystem>

#include "sidecar/metadata_refresh.hpp"
#include "support/metadata_repository.hpp"
#include "support/sidecar_fixture.hpp"

using namespace stand_ins;

inline UnixSeconds wallClockSeconds() {
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

/// Each mirror serves `files`, unless its script has sent another response.
struct TrustFixture : SidecarFixture {
    using Script = std::function<bool(HttpStandIn&, evhttp_request*,
                                      const std::string& name)>;  ///< returns true if it has responded

    explicit TrustFixture(int count = 1) : repository(true, wallClockSeconds()) {
        repository.target("targets", "releases/5", "five");
        repository.publish();
        files = repository.files;
        directory = temporaryDirectory("trust");
        std::ofstream(directory + ".root") << repository.firstRoot();
        scripts.resize(static_cast<std::size_t>(count));
        trust.emplace();
        trust->rootFile = directory + ".root";
        trust->buildPathPattern = "releases/{build}";
        trust->refreshIntervals = {100 * kMs, 50 * kMs, 200 * kMs};
        for (int index = 0; index < count; ++index) {
            mirrors.push_back(std::make_unique<HttpStandIn>(loop, [this, index](auto& mirror, auto* request) {
                const std::string uri = evhttp_request_get_uri(request);
                const auto name = uri.substr(uri.rfind('/') + 1);
                const auto& script = scripts[static_cast<std::size_t>(index)];
                if (script && script(mirror, request, name)) return;
                if (uri.compare(0, 9, "/targets/") == 0) {
                    for (const auto& [path, bytes] : repository.contents)
                        if (uri == "/targets/releases/" + digest("sha256", bytes) +
                                       path.substr(8).replace(0, 1, "."))
                            return mirror.respond(request, 200, bytes);
                    return mirror.respond(request, 404, "");
                }
                const auto file = files.find(name);
                if (file == files.end()) mirror.respond(request, 404, "");
                else mirror.respond(request, 200, file->second);
            }));
            const auto address = mirrors.back()->address;
            trust->metadata.push_back({{address, "/metadata"}, false});
            trust->targets.push_back({{address, "/targets"}, false});
        }
    }
    ~TrustFixture() {
        sidecar.reset();
        std::filesystem::remove_all(directory);
        std::filesystem::remove(directory + ".root");
    }
    Attestation attestationOf(int build) { return sidecar->trust()->builds().attestationOf(build); }
    const sidecar::TrustManager::Counts& counts() { return sidecar->trust()->counts(); }
    /// Waits for another refresh to end. Returns its refusal; empty if it was accepted.
    std::string nextRefresh() {
        const auto refreshesBefore = counts().refreshes;
        runUntil([&] {
            return counts().refreshes >= refreshesBefore + 2;
        });  // the first may have begun before this call
        return sidecar->trust()->lastRefusal();
    }
    /// Keeps few requests in flight, so that none is rejected and each gets one response, from a pod.
    void sendRequests(int count) {
        for (int index = 0; index < count; ++index) {
            responses.push_back(sendRequest("read"));
            runUntil([&] { return responses.size() < 2 || responses[responses.size() - 2]->has_value(); });
        }
    }
    void finishRequests() {
        runUntil([&] {
            return std::all_of(responses.begin(), responses.end(),
                               [](auto& response) { return response->has_value(); });
        });
        for (const auto& response : responses) CHECK((*response)->statusCode == 200);
        runUntil([&] { return sidecar->requestsInFlight() == 0; });
        CHECK(counts().fetches.requested - counts().fetches.completed <= 1);
    }

    Repository repository;
    std::map<std::string, std::string> files;  // served by the mirrors
    std::string directory;
    std::vector<Script> scripts;
    std::vector<std::unique_ptr<HttpStandIn>> mirrors;
    std::vector<PendingResponse> responses;
};
