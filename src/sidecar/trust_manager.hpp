// Maintains the sidecar's trust in signed metadata.
#pragma once

#include "metadata/attested_builds.hpp"
#include "sidecar/metadata_refresh.hpp"
#include "sidecar/mirror_server.hpp"
#include "sidecar/trust_config.hpp"

namespace lichenlanding::sidecar {

/// Refreshes trusted metadata before they expire, reports to the policy which builds are attested, and serves
/// verified metadata to others. After a refused refresh the previous metadata stay trusted until they expire.
class TrustManager {
  public:
    using AttestationHandler = std::function<void(int build, Attestation attestation)>;

    /// Throws std::runtime_error if a shipped root cannot be read or verified, or the mirror cannot listen.
    /// If the directory cannot be used, that is logged and trust is kept in memory only.
    TrustManager(EventLoop& loop, const TrustConfig& config, std::uint32_t seed,
                 AttestationHandler onAttestation);
    ~TrustManager();

    void start();
    /// Looks up the attestation of a build, which is on trial or has pods.
    void track(int build);
    /// Applies mirrors, their draining marks, and intervals; directories and roots do not change.
    void reload(const TrustConfig& config);
    /// Sends no new request to a mirror, and drains the own mirror server.
    void stop();

    struct Counts {
        std::size_t refreshes = 0, refused = 0;
        FetchCounts fetches;
    };
    const Counts& counts() const { return counts_; }
    const metadata::AttestedBuilds& builds() const { return builds_; }
    const MirrorServer* mirror() const { return mirror_.get(); }
    /// Empty if the last refresh was accepted.
    const std::string& lastRefusal() const { return lastRefusal_; }

  private:
    // One repository: its mirrors, its store, and the expiry of its trusted metadata.
    struct Repository {
        std::string shippedRoot;
        std::vector<Url> bases;
        metadata::Mirrors mirrors;
        std::unique_ptr<TrustStore> store;
        metadata::UnixSeconds expires = 0;
    };
    struct PendingDownload {
        metadata::Found found;
        bool consistent;
    };
    static Repository makeRepository(const std::vector<MirrorUrl>& mirrors, std::uint32_t seed);
    void openRepository(Repository& repository, const std::string& rootFile, const std::string& directory);

    metadata::UnixSeconds wallClockNow() const;
    void restoreClock();
    void storeClock();

    void refresh();
    void refreshRepository(Repository& repository, const std::vector<std::string>& paths,
                           std::function<void(MetadataRefresh&)> onDone);
    void onDirectorRefreshed(MetadataRefresh& refresh);
    void onImagesRefreshed(MetadataRefresh& refresh);
    void finishRefresh(const metadata::Check& refusal, metadata::UnixSeconds expires);
    void reportChanges(const std::vector<metadata::AttestedBuilds::Change>& attestations);
    void expire();

    void publish(const metadata::Update& update);
    void queueDownload(const metadata::Found& found, bool consistent);
    void startNextDownload();
    void applyPendingConfig();

    EventLoop& loop_;
    AttestationHandler onAttestation_;
    Nanos wallOffset_;  // difference of the wall clock from the monotonic clock
    metadata::UnixSeconds clockStoredAt_ = 0;
    metadata::AttestedBuilds builds_;
    metadata::RefreshSchedule refreshSchedule_;
    std::uint32_t seed_;
    Repository imageRepository_;
    std::optional<Repository> director_;
    std::optional<std::map<std::string, metadata::uptane::Directive>> directives_;
    std::vector<Url> targetBases_;
    metadata::Mirrors targetMirrors_;
    std::size_t maxTargetBytes_;
    metadata::Sizes sizes_;
    metadata::FetchTimeouts timeouts_;
    Counts counts_;
    std::string lastRefusal_;
    Timer refreshTimer_, expiryTimer_;
    bool stopped_ = false, refreshAgain_ = false;
    metadata::UnixSeconds expires_ = 0;  // of the trusted metadata
    std::unique_ptr<MirrorServer> mirror_;
    std::unique_ptr<MetadataRefresh> refresh_;
    std::unique_ptr<TargetDownload> download_;
    std::deque<PendingDownload> downloads_;
    std::optional<TrustConfig> pendingConfig_;  // applied once no fetch is in flight
    std::optional<WorkerThread> worker_;        // destroyed first, since its job uses the members above
};

}  // namespace lichenlanding::sidecar
