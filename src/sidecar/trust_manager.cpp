#include "sidecar/trust_manager.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lichenlanding::net {

using namespace metadata;

namespace {

constexpr Nanos second = 1'000'000'000;
constexpr const char* listedFile = "state/builds";  // no role's file: those end in ".json"
constexpr const char* clockFile = "state/clock";    // when an update was last accepted
constexpr UnixSeconds clockKeptEvery = 60;

std::string wholeFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    if (!file || !(text << file.rdbuf())) throw std::runtime_error("cannot read the shipped root " + path);
    return text.str();
}

const char* wordOf(Attestation attestation) {
    static constexpr const char* words[] = {"has no valid metadata", "is vouched for", "is withdrawn"};
    return words[static_cast<int>(attestation)];
}

std::vector<Url> urlsOf(const std::vector<MirrorUrl>& mirrors) {
    std::vector<Url> urls;
    for (const auto& one : mirrors) urls.push_back(one.url);
    return urls;
}

Mirrors mirrorsOf(const std::vector<MirrorUrl>& mirrors, std::uint32_t seed) {
    std::vector<std::string> names;
    for (const auto& one : mirrors) names.push_back(one.url.address.text());
    Mirrors made(std::move(names), seed);
    for (std::size_t at = 0; at < mirrors.size(); ++at) made.drains(at, mirrors[at].draining);
    return made;
}

}  // namespace

Trust::Repository Trust::repositoryOf(const std::vector<MirrorUrl>& mirrors, std::uint32_t seed) {
    return {{}, urlsOf(mirrors), mirrorsOf(mirrors, seed), nullptr, 0};
}

Trust::Trust(Loop& loop, const TrustConfig& config, std::uint32_t seed, Told told)
    : loop_(loop),
      told_(std::move(told)),
      wallOffset_(std::chrono::duration_cast<std::chrono::nanoseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count() -
                  loop.now()),
      builds_(config.builds),
      rhythm_(config.rhythm, seed),
      seed_(seed),
      images_(repositoryOf(config.metadata, seed)),
      targetBases_(urlsOf(config.targets)),
      targetMirrors_(mirrorsOf(config.targets, seed + 1)),
      mostTarget_(config.serveBytes / 4),
      sizes_(config.sizes),
      patience_(config.patience),
      due_(loop, [this] { refresh(); }),
      lapses_(loop, [this] { lapse(); }) {
    if (config.thread) worker_.emplace(loop);
    open(images_, config.root, config.folder);
    startClock();
    if (config.director) {
        director_ = repositoryOf(config.director->metadata, seed + 2);
        open(*director_, config.director->root, config.folder.empty() ? "" : config.folder + "/director");
    }
    if (const auto kept = images_.store->read(listedFile)) builds_.restore(*kept);
    if (config.serve)
        mirror_ = std::make_unique<Mirror>(loop, *config.serve,
                                           Mirror::Figures{config.serveConnections, config.serveBytes});
}

Trust::~Trust() = default;

void Trust::open(Repository& repository, const std::string& rootFile, const std::string& folder) {
    repository.shippedRoot = wholeFile(rootFile);
    if (!folder.empty()) {
        auto opened = TrustStore::open(folder);
        if (opened) repository.store = std::move(*opened);
        else log(Kind::metadata, opened.refusal().text() + ": trust is kept in memory alone");
    } else {
        log(Kind::metadata, "no folder is named: trust is kept in memory alone");
    }
    if (!repository.store) repository.store = TrustStore::inMemory();
    std::string said;
    const auto set = repository.store->start(repository.shippedRoot, clock(), said, sizes_);
    if (!set) throw std::runtime_error("the root of " + rootFile + ": " + set.refusal().text());
    log(Kind::metadata, said);
}

// Steps of the wall clock while the sidecar runs change nothing: what has expired stays so.
UnixSeconds Trust::clock() const { return (loop_.now() + wallOffset_) / second; }

// Nor does a clock that was set back while it did not run: time goes on from the last accepted update. That
// time lay before the end of a timestamp that was valid then, so a clock that was wrong once does no lasting
// harm.
void Trust::startClock() {
    const auto kept = images_.store->read(clockFile);
    const auto seen = kept ? readTime(*kept) : std::nullopt;
    clockKept_ = seen.value_or(0);
    if (!seen || *seen <= clock()) return;
    log(Kind::metadata,
        "the clock is " + std::to_string(*seen - clock()) + " s behind the last update's time, which counts");
    wallOffset_ = *seen * second - loop_.now();
}

void Trust::keepClock() {
    if (clock() < clockKept_ + clockKeptEvery) return;
    KeepStep step;
    step.files.emplace_back(clockFile, timeText(clock()));
    if (const auto trouble = images_.store->commit(step)) return log(Kind::metadata, trouble->text());
    clockKept_ = clock();
}

void Trust::start() { due_.in(0); }

void Trust::named(int build) {
    if (!builds_.named(build) || stopped_) return;
    if (refresh_) soon_ = true;
    else if (counts_.refreshes > 0) due_.in(0);
}

// What is under way holds on to the mirrors of before: it ends first. But from now on nothing new goes to one
// that drains, or that the file names no more.
void Trust::reload(const TrustConfig& config) {
    const auto drain = [](Mirrors& mirrors, const std::vector<Url>& bases,
                          const std::vector<MirrorUrl>& now) {
        for (std::size_t at = 0; at < bases.size(); ++at)
            mirrors.drains(at, std::none_of(now.begin(), now.end(), [&](auto& one) {
                               return one.url.text() == bases[at].text() && !one.draining;
                           }));
    };
    drain(images_.mirrors, images_.bases, config.metadata);
    drain(targetMirrors_, targetBases_, config.targets);
    if (director_ && config.director) drain(director_->mirrors, director_->bases, config.director->metadata);
    next_ = config;
    soon_ = true;
    takeNext();
}

void Trust::takeNext() {
    if (!next_ || refresh_ || download_ || stopped_) return;
    const auto config = *std::exchange(next_, std::nullopt);
    rhythm_ = Rhythm(config.rhythm, seed_ + 3);
    images_.mirrors = mirrorsOf(config.metadata, seed_);
    images_.bases = urlsOf(config.metadata);
    targetMirrors_ = mirrorsOf(config.targets, seed_ + 1);
    targetBases_ = urlsOf(config.targets);
    if (director_ && config.director) {
        director_->mirrors = mirrorsOf(config.director->metadata, seed_ + 2);
        director_->bases = urlsOf(config.director->metadata);
    }
    log(Kind::metadata, "reloads: " + std::to_string(images_.bases.size()) + " mirrors");
    due_.in(0);
}

void Trust::stop() {
    stopped_ = true;
    due_.stop();
    if (mirror_) mirror_->drain();
}

void Trust::refresh() {
    if (refresh_ || stopped_) return;
    soon_ = false;
    ++counts_.refreshes;
    directives_.reset();
    if (director_) ask(*director_, {}, [this](Refresh& over) { director(over); });
    else ask(images_, builds_.paths(), [this](Refresh& over) { images(over); });
}

void Trust::ask(Repository& of, const std::vector<std::string>& paths, std::function<void(Refresh&)> then) {
    std::string said;
    auto set = of.store->start(of.shippedRoot, clock(), said, sizes_);
    if (!set) return over(set.refusal(), 0);
    Update update(std::move(*set), *of.store);
    for (const auto& path : paths) update.lookFor(path);
    refresh_ = std::make_unique<Refresh>(loop_, of.mirrors, of.bases, *of.store, std::move(update), patience_,
                                         counts_.fetches, worker_ ? &*worker_ : nullptr, std::move(then));
    refresh_->start();
}

// The director's targets speak for themselves; the image repository must list what they name.
void Trust::director(Refresh& done) {
    const auto refusal = done.refusal();
    auto named = refusal ? Result<std::map<std::string, uptane::Directive>>(*refusal)
                         : uptane::directives(*done.update().set().trusted());
    director_->expires = refusal ? 0 : done.update().set().expires();
    refresh_.reset();
    if (!named) {
        auto why = named.refusal();
        why.role = "director " + why.role;
        return over(why, 0);
    }
    directives_ = std::move(*named);
    ask(images_, builds_.paths(), [this](Refresh& over) { images(over); });
}

void Trust::images(Refresh& done) {
    const auto refusal = done.refusal();
    const auto& update = done.update();
    if (refusal) {
        const auto why = *refusal;  // it lies in what is freed next
        refresh_.reset();
        return over(why, 0);
    }
    auto expires = update.set().expires();
    if (director_) expires = std::min(expires, director_->expires);
    const auto words = directives_ ? builds_.settled(update.found(), expires, *directives_)
                                   : builds_.settled(update.found(), expires);
    if (!words.empty()) {
        KeepStep step;
        step.files.emplace_back(listedFile, builds_.kept());
        if (const auto trouble = images_.store->commit(step)) log(Kind::metadata, trouble->text());
    }
    tell(words);
    if (mirror_) {
        publish(update);
        for (const auto& [path, found] : update.found())
            if (found && !targetBases_.empty()) download(*found, update.consistent());
    }
    refresh_.reset();
    over({}, expires);
}

void Trust::over(const Check& refusal, UnixSeconds expires) {
    if (refusal) {
        ++counts_.refused;
        lastRefusal_ = refusal->text();
        log(Kind::metadata, "refused, what was trusted stays: " + lastRefusal_);
    } else {
        if (!lastRefusal_.empty()) log(Kind::metadata, "accepted again");
        lastRefusal_.clear();
        lasts_ = expires;
        keepClock();
        lapses_.in(std::max<Nanos>(0, (expires - clock()) * second));
    }
    if (stopped_) return;
    const auto lasts = std::max<Nanos>(0, (lasts_ - clock()) * second);
    const auto wait = refusal ? rhythm_.afterFailure(lasts) : rhythm_.afterSuccess(lasts);
    due_.in(soon_ && !refusal ? 0 : wait);
    takeNext();
}

void Trust::tell(const std::vector<Builds::Word>& words) {
    for (const auto& [build, attestation] : words) {
        log(Kind::metadata, "build " + std::to_string(build) + " " + wordOf(attestation));
        told_(build, attestation);
    }
}

void Trust::lapse() {
    if (clock() < lasts_) return lapses_.in(second);
    const auto words = builds_.lapsed(clock());
    if (!words.empty()) log(Kind::metadata, "what was trusted has run out at " + timeText(lasts_));
    tell(words);
}

// What this update has verified, whole: the chain of roots, and each role that it has visited.
void Trust::publish(const Update& update) {
    const auto& set = update.set();
    Mirror::Set documents;
    const auto put = [&](const std::string& name, const std::string& kept) {
        if (const auto bytes = images_.store->read(kept))
            documents[name] = std::make_shared<const std::string>(*bytes);
    };
    for (auto version = set.root().version; version > 0; --version) {
        const auto name = std::to_string(version) + ".root.json";
        put(name, "root_history/" + name);
        if (!documents.count(name)) break;
    }
    put("root.json", "root.json");
    put("timestamp.json", "timestamp.json");
    const auto versioned = [&](const std::string& role, std::int64_t version) {
        const auto file = percentEncoded(role) + ".json";
        put(update.consistent() ? std::to_string(version) + "." + file : file, file);
    };
    versioned("snapshot", set.snapshot()->version);
    for (const auto& [file, listing] : set.snapshot()->files) {
        const auto role = file.substr(0, file.size() - std::min<std::size_t>(file.size(), 5));
        if (const auto* targets = set.trusted(role)) versioned(role, targets->version);
    }
    mirror_->publish(std::move(documents));
}

void Trust::download(const Found& found, bool consistent) {
    if (!consistent || mirror_->holds(found.location())) return;
    downloads_.emplace_back(found, consistent);
    if (!download_) nextDownload();
}

void Trust::nextDownload() {
    download_.reset();
    while (!downloads_.empty() && !download_ && !stopped_) {
        const auto [found, consistent] = downloads_.front();
        downloads_.pop_front();
        if (mirror_->holds(found.location())) continue;
        download_ =
            std::make_unique<Download>(loop_, targetMirrors_, targetBases_, patience_, counts_.fetches);
        download_->start(found, consistent, mostTarget_, [this, found](Result<std::string> got) {
            if (got) mirror_->hold(found.location(), std::move(*got));
            else log(Kind::metadata, "not held for others: " + got.refusal().text());
            loop_.later([this] { nextDownload(); });
        });
    }
    takeNext();
}

}  // namespace lichenlanding::net
