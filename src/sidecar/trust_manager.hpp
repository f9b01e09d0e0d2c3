// The sidecar's trust in signed metadata: refreshes ahead of expiry, tells the decisions what builds are
// vouched for, and serves what it has verified to others. A refusal leaves the old trust in force, until it
// runs out.
#pragma once

#include "metadata/builds.hpp"
#include "sidecar/metadata_refresh.hpp"
#include "sidecar/mirror_server.hpp"
#include "sidecar/trust_config.hpp"

namespace lichenlanding::net {

class Trust {
  public:
    using Told = std::function<void(int build, Attestation attestation)>;

    // Throws if a shipped root cannot be read or verified, or the mirror cannot listen. A folder that cannot
    // be used is no reason not to start: trust then is in memory, and the log says so.
    Trust(Loop& loop, const TrustConfig& config, std::uint32_t seed, Told told);
    ~Trust();

    void start();
    void named(int build);                   // on trial or with pods: to be looked up
    void reload(const TrustConfig& config);  // mirrors, draining ones, and the rhythm; folders and roots stay
    void stop();                             // no new request to a mirror; serving drains

    struct Counts {
        std::size_t refreshes = 0, refused = 0;
        FetchCounts fetches;
    };
    const Counts& counts() const { return counts_; }
    const metadata::Builds& builds() const { return builds_; }
    const Mirror* mirror() const { return mirror_.get(); }
    const std::string& lastRefusal() const { return lastRefusal_; }  // empty: the last refresh was accepted

  private:
    // One repository: its mirrors, what is kept of it, and what is trusted of it now.
    struct Repository {
        std::string shippedRoot;
        std::vector<Url> bases;
        metadata::Mirrors mirrors;
        std::unique_ptr<TrustStore> store;
        metadata::UnixSeconds expires = 0;
    };
    static Repository repositoryOf(const std::vector<MirrorUrl>& mirrors, std::uint32_t seed);
    void open(Repository& repository, const std::string& rootFile, const std::string& folder);
    metadata::UnixSeconds clock() const;  // the wall's, by an offset taken at the start

    void startClock();
    void keepClock();

    void refresh();
    void ask(Repository& of, const std::vector<std::string>& paths, std::function<void(Refresh&)> then);
    void director(Refresh& over);
    void images(Refresh& over);
    void over(const metadata::Check& refusal, metadata::UnixSeconds expires);
    void tell(const std::vector<metadata::Builds::Word>& words);
    void lapse();
    void publish(const metadata::Update& update);
    void download(const metadata::Found& found, bool consistent);
    void nextDownload();
    void takeNext();

    Loop& loop_;
    Told told_;
    Nanos wallOffset_;
    metadata::UnixSeconds clockKept_ = 0;
    metadata::Builds builds_;
    metadata::Rhythm rhythm_;
    std::uint32_t seed_;
    Repository images_;
    std::optional<Repository> director_;
    std::optional<std::map<std::string, metadata::uptane::Directive>> directives_;
    std::vector<Url> targetBases_;
    metadata::Mirrors targetMirrors_;
    std::size_t mostTarget_;
    metadata::Sizes sizes_;
    metadata::Patience patience_;
    Counts counts_;
    std::string lastRefusal_;
    Timer due_, lapses_;
    bool stopped_ = false, soon_ = false;
    metadata::UnixSeconds lasts_ = 0;  // until when what is trusted vouches
    std::unique_ptr<Mirror> mirror_;
    std::unique_ptr<Refresh> refresh_;
    std::unique_ptr<Download> download_;
    std::deque<std::pair<metadata::Found, bool>> downloads_;
    std::optional<TrustConfig> next_;  // taken once nothing is under way
    std::optional<Worker> worker_;     // last: its job touches what is above
};

}  // namespace lichenlanding::net
