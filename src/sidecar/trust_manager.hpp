// The sidecar's trust in signed metadata.
#pragma once

#include "metadata/attested_builds.hpp"
#include "sidecar/metadata_refresh.hpp"
#include "sidecar/mirror_server.hpp"
#include "sidecar/trust_config.hpp"

namespace lichenlanding::sidecar {

/// Refreshes trusted metadata ahead of their expiry, tells the policy which builds are attested, and serves
/// what it has verified to others. A refused refresh leaves the old trust in force until it expires.
class TrustManager {
  public:
    using AttestationHandler = std::function<void(int build, Attestation attestation)>;

    /// Throws std::runtime_error if a shipped root cannot be read or verified, or the mirror cannot listen. A
    /// directory that cannot be used is logged, and trust is kept in memory.
    TrustManager(EventLoop& loop, const TrustConfig& config, std::uint32_t seed,
                 AttestationHandler onAttestation);
    ~TrustManager();

    void start();
    /// A build that is on trial or has pods, whose attestation is to be looked up.
    void track(int build);
    /// Takes mirrors, draining ones, and intervals; directories and roots stay.
    void reload(const TrustConfig& config);
    /// No new request to a mirror; serving drains.
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
    // One repository: its mirrors, its store, and when what is trusted of it expires.
    struct Repository {
        std::string shippedRoot;
        std::vector<Url> bases;
        metadata::Mirrors mirrors;
        std::unique_ptr<TrustStore> store;
        metadata::UnixSeconds expires = 0;
    };
    struct PendingDownload {
        metadata::FoundTarget found;
        bool consistent;
    };
    static Repository repositoryOf(const std::vector<MirrorUrl>& mirrors, std::uint32_t seed);
    void open(Repository& repository, const std::string& rootFile, const std::string& directory);

    metadata::UnixSeconds clock() const;
    void restoreClock();
    void storeClock();

    void refresh();
    void refreshRepository(Repository& repository, const std::vector<std::string>& paths,
                           std::function<void(MetadataRefresh&)> onDone);
    void onDirectorRefreshed(MetadataRefresh& refresh);
    void onImagesRefreshed(MetadataRefresh& refresh);
    void finishRefresh(const metadata::Check& refusal, metadata::UnixSeconds expires);
    void report(const std::vector<metadata::AttestedBuilds::Change>& attestations);
    void expire();

    void publish(const metadata::Update& update);
    void queueDownload(const metadata::FoundTarget& found, bool consistent);
    void startNextDownload();
    void applyPendingConfig();

    EventLoop& loop_;
    AttestationHandler onAttestation_;
    Nanos wallOffset_;  // from the monotonic to the wall clock
    metadata::UnixSeconds clockStoredAt_ = 0;
    metadata::AttestedBuilds builds_;
    metadata::RefreshSchedule rhythm_;
    std::uint32_t seed_;
    Repository images_;
    std::optional<Repository> director_;
    std::optional<std::map<std::string, metadata::uptane::Directive>> directives_;
    std::vector<Url> targetBases_;
    metadata::Mirrors targetMirrors_;
    std::size_t maxTargetBytes_;
    metadata::SizeLimits sizes_;
    metadata::FetchTimeouts timeouts_;
    Counts counts_;
    std::string lastRefusal_;
    Timer refreshTimer_, expiryTimer_;
    bool stopped_ = false, refreshSoon_ = false;
    metadata::UnixSeconds expires_ = 0;  // of what is trusted
    std::unique_ptr<MirrorServer> mirror_;
    std::unique_ptr<MetadataRefresh> refresh_;
    std::unique_ptr<TargetDownload> download_;
    std::deque<PendingDownload> downloads_;
    std::optional<TrustConfig> pendingConfig_;  // applied once nothing is in flight
    std::optional<WorkerThread> worker_;        // last: its job touches what is above
};

}  // namespace lichenlanding::sidecar
