// What signed metadata say of builds: from targets found to the one word that the decisions are told.
#pragma once

#include "metadata/uptane.hpp"
#include "state.hpp"

namespace lichenlanding::metadata {

// Kept by a sidecar: which builds it looks after, what it last told of each, and which were listed once, so
// that one that is listed no more is known as withdrawn, after a restart too.
class Builds {
  public:
    struct Word {
        int build = 0;
        Attestation attestation = Attestation::none;
    };

    // `pattern`: of targets' paths, with "{build}" once.
    explicit Builds(std::string pattern);

    // A build exists: on trial, or with pods listed. True if it was not known: a look-up is due soon. The
    // newest `most` by number are looked after.
    bool named(int build);
    std::string pathOf(int build) const;
    std::vector<std::string> paths() const;

    // After an update that was accepted, whose trust lasts until `expires`. Changes alone are told, by
    // number. A listed build is valid, unless its "custom" says "withdrawn": true. One that is listed no more
    // but was, is withdrawn. With a director, valid is only what it directs some unit to and the image
    // repository agrees with; what it does not name has no word.
    std::vector<Word> settled(const std::map<std::string, std::optional<Found>>& found, UnixSeconds expires);
    std::vector<Word> settled(const std::map<std::string, std::optional<Found>>& found, UnixSeconds expires,
                              const std::map<std::string, uptane::Directive>& directives);
    // Trust that has run out vouches for nothing: valid becomes none. Withdrawn stays.
    std::vector<Word> lapsed(UnixSeconds now);

    Attestation told(int build) const;  // the last word of it

    // As bytes for the store: the builds listed once. What cannot be read is as if nothing was kept.
    std::string kept() const;
    void restore(std::string_view kept);

    static constexpr std::size_t most = 16;

  private:
    struct Held {
        Attestation told = Attestation::none;
        bool listedOnce = false;
    };
    static Attestation wordOf(const std::optional<Found>& found, bool listedOnce);

    std::string before_, after_;  // the pattern's two halves
    std::map<int, Held> held_;    // by number
    UnixSeconds expires_ = 0;
};

}  // namespace lichenlanding::metadata
