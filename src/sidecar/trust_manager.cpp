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
constexpr const char* kBuildsFile = "state/builds";  // no role's file: those end in ".json"
constexpr const char* kClockFile = "state/clock";    // when a refresh was last accepted
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

Mirrors mirrorsOf(const std::vector<MirrorUrl>& urls, std::uint32_t seed) {
    std::vector<std::string> names;
    for (const auto& url : urls) names.push_back(url.url.address.text());
    Mirrors mirrors(std::move(names), seed);
    for (std::size_t at = 0; at < urls.size(); ++at) mirrors.setDraining(at, urls[at].draining);
    return mirrors;
}

// Nothing new is requested from a mirror that drains, or that the configuration names no more.
void drainOthers(Mirrors& mirrors, const std::vector<Url>& bases, const std::vector<MirrorUrl>& configured) {
    for (std::size_t at = 0; at < bases.size(); ++at) {
        const auto stays = [&](auto& mirror) {
            return mirror.url.text() == bases[at].text() && !mirror.draining;
        };
        mirrors.setDraining(at, std::none_of(configured.begin(), configured.end(), stays));
    }
}

}  // namespace

TrustManager::Repository TrustManager::repositoryOf(const std::vector<MirrorUrl>& mirrors,
                                                    std::uint32_t seed) {
    return {{}, urlsOf(mirrors), mirrorsOf(mirrors, seed), nullptr, 0};
}

TrustManager::TrustManager(EventLoop& loop, const TrustConfig& config, std::uint32_t seed,
                           AttestationHandler onAttestation)
    : loop_(loop),
      onAttestation_(std::move(onAttestation)),
      wallOffset_(wallClock() - loop.now()),
      builds_(config.builds),
      rhythm_(config.rhythm, seed),
      seed_(seed),
      images_(repositoryOf(config.metadata, seed)),
      targetBases_(urlsOf(config.targets)),
      targetMirrors_(mirrorsOf(config.targets, seed + 1)),
      maxTargetBytes_(config.serveBytes / 4),
      sizes_(config.sizes),
      timeouts_(config.timeouts),
      refreshTimer_(loop, [this] { refresh(); }),
      expiryTimer_(loop, [this] { expire(); }) {
    if (config.thread) worker_.emplace(loop);
    open(images_, config.root, config.directory);
    restoreClock();
    if (config.director) {
        director_ = repositoryOf(config.director->metadata, seed + 2);
        const auto directory = config.directory.empty() ? "" : config.directory + "/director";
        open(*director_, config.director->root, directory);
    }
    if (const auto stored = images_.store->read(kBuildsFile)) builds_.restore(*stored);
    if (config.serve) {
        const MirrorServer::Limits limits{config.serveConnections, config.serveBytes};
        mirror_ = std::make_unique<MirrorServer>(loop, *config.serve, limits);
    }
}

TrustManager::~TrustManager() = default;

void TrustManager::open(Repository& repository, const std::string& rootFile, const std::string& directory) {
    repository.shippedRoot = readFile(rootFile);
    if (!directory.empty()) {
        auto opened = TrustStore::open(directory);
        if (opened) repository.store = std::move(*opened);
        else log(LogEvent::metadata, opened.refusal().text() + ": trust is kept in memory only");
    } else {
        log(LogEvent::metadata, "no directory configured: trust is kept in memory only");
    }
    if (!repository.store) repository.store = TrustStore::inMemory();
    std::string choice;
    const auto set = repository.store->start(repository.shippedRoot, clock(), choice, sizes_);
    if (!set) throw std::runtime_error("the root of " + rootFile + ": " + set.refusal().text());
    log(LogEvent::metadata, choice);
}

// Steps of the wall clock while the sidecar runs change nothing: what has expired stays expired.
UnixSeconds TrustManager::clock() const { return (loop_.now() + wallOffset_) / kSecond; }

// Nor does a clock that was set back while it did not run: time goes on from the last accepted refresh. That
// time was before the expiry of a timestamp that was valid then, so a wrong clock does no lasting harm.
void TrustManager::restoreClock() {
    const auto stored = images_.store->read(kClockFile);
    const auto last = stored ? parseTime(*stored) : std::nullopt;
    clockStoredAt_ = last.value_or(0);
    if (!last || *last <= clock()) return;
    log(LogEvent::metadata, "the wall clock is " + std::to_string(*last - clock()) +
                                " s behind the last refresh, whose time is used");
    wallOffset_ = *last * kSecond - loop_.now();
}

void TrustManager::storeClock() {
    if (clock() < clockStoredAt_ + kClockStoreInterval) return;
    StoreTransaction step;
    step.files.emplace_back(kClockFile, formatTime(clock()));
    if (const auto refusal = images_.store->commit(step)) return log(LogEvent::metadata, refusal->text());
    clockStoredAt_ = clock();
}

void TrustManager::start() { refreshTimer_.start(0); }

void TrustManager::track(int build) {
    if (!builds_.track(build) || stopped_) return;
    if (refresh_) refreshSoon_ = true;
    else if (counts_.refreshes > 0) refreshTimer_.start(0);
}

// What is in flight refers to the old mirrors, and ends first.
void TrustManager::reload(const TrustConfig& config) {
    drainOthers(images_.mirrors, images_.bases, config.metadata);
    drainOthers(targetMirrors_, targetBases_, config.targets);
    if (director_ && config.director)
        drainOthers(director_->mirrors, director_->bases, config.director->metadata);
    pendingConfig_ = config;
    refreshSoon_ = true;
    applyPendingConfig();
}

void TrustManager::applyPendingConfig() {
    if (!pendingConfig_ || refresh_ || download_ || stopped_) return;
    const auto config = *std::exchange(pendingConfig_, std::nullopt);
    rhythm_ = RefreshSchedule(config.rhythm, seed_ + 3);
    images_.mirrors = mirrorsOf(config.metadata, seed_);
    images_.bases = urlsOf(config.metadata);
    targetMirrors_ = mirrorsOf(config.targets, seed_ + 1);
    targetBases_ = urlsOf(config.targets);
    if (director_ && config.director) {
        director_->mirrors = mirrorsOf(config.director->metadata, seed_ + 2);
        director_->bases = urlsOf(config.director->metadata);
    }
    log(LogEvent::metadata, "reloaded: " + std::to_string(images_.bases.size()) + " mirrors");
    refreshTimer_.start(0);
}

void TrustManager::stop() {
    stopped_ = true;
    refreshTimer_.stop();
    if (mirror_) mirror_->drain();
}

void TrustManager::refresh() {
    if (refresh_ || stopped_) return;
    refreshSoon_ = false;
    ++counts_.refreshes;
    directives_.reset();
    if (director_) {
        refreshRepository(*director_, {}, [this](MetadataRefresh& done) { onDirectorRefreshed(done); });
    } else {
        refreshRepository(images_, builds_.paths(),
                          [this](MetadataRefresh& done) { onImagesRefreshed(done); });
    }
}

void TrustManager::refreshRepository(Repository& repository, const std::vector<std::string>& paths,
                                     std::function<void(MetadataRefresh&)> onDone) {
    std::string choice;
    auto set = repository.store->start(repository.shippedRoot, clock(), choice, sizes_);
    if (!set) return finishRefresh(set.refusal(), 0);
    Update update(std::move(*set), *repository.store);
    for (const auto& path : paths) update.search(path);
    refresh_ = std::make_unique<MetadataRefresh>(
        loop_, repository.mirrors, repository.bases, *repository.store, std::move(update), timeouts_,
        counts_.fetches, worker_ ? &*worker_ : nullptr, std::move(onDone));
    refresh_->start();
}

// The director's targets speak for themselves; the image repository must list what they name.
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
    refreshRepository(images_, builds_.paths(), [this](MetadataRefresh& done) { onImagesRefreshed(done); });
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
        if (const auto failure = images_.store->commit(step)) log(LogEvent::metadata, failure->text());
    }
    report(changes);
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
        expiryTimer_.start(std::max<Nanos>(0, (expires - clock()) * kSecond));
    }
    if (stopped_) return;
    const auto validFor = std::max<Nanos>(0, (expires_ - clock()) * kSecond);
    const auto wait = refusal ? rhythm_.afterFailure(validFor) : rhythm_.afterSuccess(validFor);
    refreshTimer_.start(refreshSoon_ && !refusal ? 0 : wait);
    applyPendingConfig();
}

void TrustManager::report(const std::vector<AttestedBuilds::Change>& attestations) {
    for (const auto& [build, attestation] : attestations) {
        log(LogEvent::metadata, "build " + std::to_string(build) + " attestation: " + nameOf(attestation));
        onAttestation_(build, attestation);
    }
}

void TrustManager::expire() {
    if (clock() < expires_) return expiryTimer_.start(kSecond);
    const auto changes = builds_.expire(clock());
    if (!changes.empty()) log(LogEvent::metadata, "trusted metadata expired at " + formatTime(expires_));
    report(changes);
}

// What this update has verified: the chain of roots, and each role that it has visited.
void TrustManager::publish(const Update& update) {
    const auto& set = update.set();
    MirrorServer::DocumentSet documents;
    const auto add = [&](const std::string& name, const std::string& storedName) {
        if (const auto bytes = images_.store->read(storedName))
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

void TrustManager::queueDownload(const FoundTarget& found, bool consistent) {
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
