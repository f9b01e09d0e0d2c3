#include "sidecar/trust_manager.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lichenlanding::sidecar {

using namespace metadata;

namespace {

constexpr Nanos kSecond = 1'000'000'000;
constexpr const char* kBuildsFile = "state/builds";  // distinct from the files of roles, which end in ".json"
constexpr const char* kClockFile = "state/clock";    // the time of the last accepted refresh
constexpr UnixSeconds kClockStoreInterval = 60;

std::string readFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    if (!file || !(text << file.rdbuf())) throw std::runtime_error("cannot read the shipped root " + path);
    return text.str();
}

const char* nameOf(Attestation attestation) {
    static constexpr const char* kNames[] = {"none", "valid", "withdrawn"};
    return kNames[static_cast<int>(attestation)];
}

Nanos wallClock() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

std::vector<Url> urlsOf(const std::vector<MirrorUrl>& mirrors) {
    std::vector<Url> urls;
    for (const auto& mirror : mirrors) urls.push_back(mirror.url);
    return urls;
}

Mirrors makeMirrors(const std::vector<MirrorUrl>& urls, std::uint32_t seed) {
    std::vector<std::string> names;
    for (const auto& url : urls) names.push_back(url.url.address.text());
    Mirrors mirrors(std::move(names), seed);
    for (std::size_t index = 0; index < urls.size(); ++index)
        mirrors.setDraining(index, urls[index].draining);
    return mirrors;
}

// Drains the mirrors that drain in the new configuration or are missing from it: no new requests are sent to
// them.
void drainUnused(Mirrors& mirrors, const std::vector<Url>& bases, const std::vector<MirrorUrl>& configured) {
    for (std::size_t index = 0; index < bases.size(); ++index) {
        const auto remainsInUse = [&](auto& mirror) {
            return mirror.url.text() == bases[index].text() && !mirror.draining;
        };
        mirrors.setDraining(index, std::none_of(configured.begin(), configured.end(), remainsInUse));
    }
}

}  // namespace

TrustManager::Repository TrustManager::makeRepository(const std::vector<MirrorUrl>& mirrors,
                                                      std::uint32_t seed) {
    return {{}, urlsOf(mirrors), makeMirrors(mirrors, seed), nullptr, 0};
}

TrustManager::TrustManager(EventLoop& loop, const TrustConfig& config, std::uint32_t seed,
                           AttestationHandler onAttestation)
    : loop_(loop),
      onAttestation_(std::move(onAttestation)),
      wallOffset_(wallClock() - loop.now()),
      builds_(config.buildPathPattern),
      refreshSchedule_(config.refreshIntervals, seed),
      seed_(seed),
      imageRepository_(makeRepository(config.metadata, seed)),
      targetBases_(urlsOf(config.targets)),
      targetMirrors_(makeMirrors(config.targets, seed + 1)),
      maxTargetBytes_(config.serveCacheBytes / 4),
      sizes_(config.sizes),
      timeouts_(config.timeouts),
      refreshTimer_(loop, [this] { refresh(); }),
      expiryTimer_(loop, [this] { expire(); }) {
    if (config.verifyOnWorker) worker_.emplace(loop);
    openRepository(imageRepository_, config.rootFile, config.directory);
    restoreClock();
    if (config.director) {
        director_ = makeRepository(config.director->metadata, seed + 2);
        const auto directory = config.directory.empty() ? "" : config.directory + "/director";
        openRepository(*director_, config.director->rootFile, directory);
    }
    if (const auto stored = imageRepository_.store->read(kBuildsFile)) builds_.restore(*stored);
    if (config.serveAddress) {
        const MirrorServer::Limits limits{config.maxServeConnections, config.serveCacheBytes};
        mirror_ = std::make_unique<MirrorServer>(loop, *config.serveAddress, limits);
    }
}

TrustManager::~TrustManager() = default;

void TrustManager::openRepository(Repository& repository, const std::string& rootFile,
                                  const std::string& directory) {
    repository.shippedRoot = readFile(rootFile);
    if (!directory.empty()) {
        auto opened = TrustStore::open(directory);
        if (opened) repository.store = std::move(*opened);
        else log(LogEvent::metadata, opened.refusal().text() + ": trust is kept in memory only");
    } else {
        log(LogEvent::metadata, "no directory configured: trust is kept in memory only");
    }
    if (!repository.store) repository.store = TrustStore::inMemory();
    std::string rootChoice;
    const auto set = repository.store->start(repository.shippedRoot, wallClockNow(), rootChoice, sizes_);
    if (!set)
        throw std::runtime_error("cannot start with the shipped root " + rootFile + ": " +
                                 set.refusal().text());
    log(LogEvent::metadata, rootChoice);
}

// Steps of the wall clock while the sidecar runs have no effect: expired metadata stay expired.
UnixSeconds TrustManager::wallClockNow() const { return (loop_.now() + wallOffset_) / kSecond; }

// Nor does a clock that was set back while the sidecar was stopped: time continues from the last
// accepted refresh. That time was before the expiry of a timestamp that was valid then, so a wrong
// clock has no lasting effect.
void TrustManager::restoreClock() {
    const auto stored = imageRepository_.store->read(kClockFile);
    const auto last = stored ? parseTime(*stored) : std::nullopt;
    clockStoredAt_ = last.value_or(0);
    if (!last || *last <= wallClockNow()) return;
    log(LogEvent::metadata, "the wall clock is " + std::to_string(*last - wallClockNow()) +
                                " s behind the last refresh; using the time of that refresh");
    wallOffset_ = *last * kSecond - loop_.now();
}

void TrustManager::storeClock() {
    if (wallClockNow() < clockStoredAt_ + kClockStoreInterval) return;
    StoreTransaction step;
    step.files.emplace_back(kClockFile, formatTime(wallClockNow()));
    if (const auto refusal = imageRepository_.store->commit(step))
        return log(LogEvent::metadata, refusal->text());
    clockStoredAt_ = wallClockNow();
}

void TrustManager::start() { refreshTimer_.start(0); }

void TrustManager::track(int build) {
    if (!builds_.track(build) || stopped_) return;
    if (refresh_) refreshAgain_ = true;
    else if (counts_.refreshes > 0) refreshTimer_.start(0);
}

// Fetches in flight refer to the old mirrors, so the configuration is applied once they have ended.
void TrustManager::reload(const TrustConfig& config) {
    drainUnused(imageRepository_.mirrors, imageRepository_.bases, config.metadata);
    drainUnused(targetMirrors_, targetBases_, config.targets);
    if (director_ && config.director)
        drainUnused(director_->mirrors, director_->bases, config.director->metadata);
    pendingConfig_ = config;
    refreshAgain_ = true;
    applyPendingConfig();
}

void TrustManager::applyPendingConfig() {
    if (!pendingConfig_ || refresh_ || download_ || stopped_) return;
    const auto config = *std::exchange(pendingConfig_, std::nullopt);
    refreshSchedule_ = RefreshSchedule(config.refreshIntervals, seed_ + 3);
    imageRepository_.mirrors = makeMirrors(config.metadata, seed_);
    imageRepository_.bases = urlsOf(config.metadata);
    targetMirrors_ = makeMirrors(config.targets, seed_ + 1);
    targetBases_ = urlsOf(config.targets);
    if (director_ && config.director) {
        director_->mirrors = makeMirrors(config.director->metadata, seed_ + 2);
        director_->bases = urlsOf(config.director->metadata);
    }
    log(LogEvent::metadata, "reloaded: " + std::to_string(imageRepository_.bases.size()) + " mirrors");
    refreshTimer_.start(0);
}

void TrustManager::stop() {
    stopped_ = true;
    refreshTimer_.stop();
    if (mirror_) mirror_->drain();
}

void TrustManager::refresh() {
    if (refresh_ || stopped_) return;
    refreshAgain_ = false;
    ++counts_.refreshes;
    directives_.reset();
    if (director_) {
        refreshRepository(*director_, {}, [this](MetadataRefresh& done) { onDirectorRefreshed(done); });
    } else {
        refreshRepository(imageRepository_, builds_.paths(),
                          [this](MetadataRefresh& done) { onImagesRefreshed(done); });
    }
}

void TrustManager::refreshRepository(Repository& repository, const std::vector<std::string>& paths,
                                     std::function<void(MetadataRefresh&)> onDone) {
    std::string rootChoice;
    auto set = repository.store->start(repository.shippedRoot, wallClockNow(), rootChoice, sizes_);
    if (!set) return finishRefresh(set.refusal(), 0);
    Update update(std::move(*set), *repository.store);
    for (const auto& path : paths) update.search(path);
    refresh_ = std::make_unique<MetadataRefresh>(
        loop_, repository.mirrors, repository.bases, *repository.store, std::move(update), timeouts_,
        counts_.fetches, worker_ ? &*worker_ : nullptr, std::move(onDone));
    refresh_->start();
}

// The director's directives are read first; the image repository must list the targets that they name.
void TrustManager::onDirectorRefreshed(MetadataRefresh& refresh) {
    const auto refusal = refresh.refusal();
    auto directives = refusal ? Result<std::map<std::string, uptane::Directive>>(*refusal)
                              : uptane::readDirectives(*refresh.update().set().trusted());
    director_->expires = refusal ? 0 : refresh.update().set().expires();
    refresh_.reset();
    if (!directives) {
        auto failure = directives.refusal();
        failure.role = "director " + failure.role;
        return finishRefresh(failure, 0);
    }
    directives_ = std::move(*directives);
    refreshRepository(imageRepository_, builds_.paths(),
                      [this](MetadataRefresh& done) { onImagesRefreshed(done); });
}

void TrustManager::onImagesRefreshed(MetadataRefresh& refresh) {
    const auto refusal = refresh.refusal();
    const auto& update = refresh.update();
    if (refusal) {
        refresh_.reset();
        return finishRefresh(refusal, 0);
    }
    auto expires = update.set().expires();
    if (director_) expires = std::min(expires, director_->expires);
    const auto changes = directives_ ? builds_.update(update.found(), expires, *directives_)
                                     : builds_.update(update.found(), expires);
    if (!changes.empty()) {
        StoreTransaction step;
        step.files.emplace_back(kBuildsFile, builds_.serialize());
        if (const auto failure = imageRepository_.store->commit(step))
            log(LogEvent::metadata, failure->text());
    }
    reportChanges(changes);
    if (mirror_) {
        publish(update);
        for (const auto& [path, found] : update.found())
            if (found && !targetBases_.empty()) queueDownload(*found, update.consistent());
    }
    refresh_.reset();
    finishRefresh({}, expires);
}

void TrustManager::finishRefresh(const Check& refusal, UnixSeconds expires) {
    if (refusal) {
        ++counts_.refused;
        lastRefusal_ = refusal->text();
        log(LogEvent::metadata, "refresh refused, trusted metadata unchanged: " + lastRefusal_);
    } else {
        if (!lastRefusal_.empty()) log(LogEvent::metadata, "refresh accepted again");
        lastRefusal_.clear();
        expires_ = expires;
        storeClock();
        expiryTimer_.start(std::max<Nanos>(0, (expires - wallClockNow()) * kSecond));
    }
    if (stopped_) return;
    const auto timeToExpiry = std::max<Nanos>(0, (expires_ - wallClockNow()) * kSecond);
    const auto wait =
        refusal ? refreshSchedule_.afterFailure(timeToExpiry) : refreshSchedule_.afterSuccess(timeToExpiry);
    refreshTimer_.start(refreshAgain_ && !refusal ? 0 : wait);
    applyPendingConfig();
}

void TrustManager::reportChanges(const std::vector<AttestedBuilds::Change>& attestations) {
    for (const auto& [build, attestation] : attestations) {
        log(LogEvent::metadata, "build " + std::to_string(build) + " attestation: " + nameOf(attestation));
        onAttestation_(build, attestation);
    }
}

void TrustManager::expire() {
    if (wallClockNow() < expires_) return expiryTimer_.start(kSecond);
    const auto changes = builds_.expire(wallClockNow());
    if (!changes.empty()) log(LogEvent::metadata, "trusted metadata expired at " + formatTime(expires_));
    reportChanges(changes);
}

// Publishes what this update has verified: the chain of roots, and each role that it has visited.
void TrustManager::publish(const Update& update) {
    const auto& set = update.set();
    MirrorServer::DocumentSet documents;
    const auto add = [&](const std::string& name, const std::string& storedName) {
        if (const auto bytes = imageRepository_.store->read(storedName))
            documents[name] = std::make_shared<const std::string>(*bytes);
    };
    for (auto version = set.root().version; version > 0; --version) {
        const auto name = std::to_string(version) + ".root.json";
        add(name, "root_history/" + name);
        if (!documents.contains(name)) break;
    }
    add("root.json", "root.json");
    add("timestamp.json", "timestamp.json");
    const auto addRole = [&](const std::string& role, std::int64_t version) {
        const auto file = percentEncoded(role) + ".json";
        add(update.consistent() ? std::to_string(version) + "." + file : file, file);
    };
    addRole("snapshot", set.snapshot()->version);
    for (const auto& [file, listing] : set.snapshot()->files) {
        const auto role = file.substr(0, file.size() - std::min<std::size_t>(file.size(), 5));
        if (const auto* targets = set.trusted(role)) addRole(role, targets->version);
    }
    mirror_->publish(std::move(documents));
}

void TrustManager::queueDownload(const Found& found, bool consistent) {
    if (!consistent || mirror_->hasTarget(found.location())) return;
    downloads_.push_back({found, consistent});
    if (!download_) startNextDownload();
}

void TrustManager::startNextDownload() {
    download_.reset();
    while (!downloads_.empty() && !download_ && !stopped_) {
        const auto [found, consistent] = downloads_.front();
        downloads_.pop_front();
        if (mirror_->hasTarget(found.location())) continue;
        download_ =
            std::make_unique<TargetDownload>(loop_, targetMirrors_, targetBases_, timeouts_, counts_.fetches);
        const auto onDone = [this, found = found](Result<std::string> target) {
            if (target) mirror_->cacheTarget(found.location(), std::move(*target));
            else log(LogEvent::metadata, "target not cached: " + target.refusal().text());
            loop_.post([this] { startNextDownload(); });
        };
        download_->start(found, consistent, maxTargetBytes_, onDone);
    }
    applyPendingConfig();
}

}  // namespace lichenlanding::sidecar
