// One document from any of several mirrors: asked for at one at a time, at each once, until one gives what is
// accepted. Ends with exactly one result.
#pragma once

#include "metadata/mirrors.hpp"
#include "metadata/refusal.hpp"
#include "sidecar/http_fetch.hpp"
#include "sidecar/task.hpp"

namespace lichenlanding::net {

// What a client of mirrors has done, for logs and tests: every document asked for is closed once.
struct FetchCounts {
    std::size_t asked = 0, closed = 0, forwards = 0, resent = 0;
};

class MirrorFetch {
  public:
    struct Document {
        std::string name;
        std::size_t atMost = 0;
        bool firstWordOnMissing = false;  // one mirror's 404 is enough (the end of the root chain)
    };
    enum class Result { accepted, missing, refused };
    // Judges the bytes of an answer, now or later, once; the bytes are its own.
    using Accept = std::function<void(std::string bytes, std::function<void(metadata::Check)> judged)>;
    using Done = std::function<void(Result, const metadata::Refusal&)>;

    // done is called once, from the loop or from within start(), unless this is destroyed first.
    MirrorFetch(Loop& loop, metadata::Mirrors& mirrors, const std::vector<Url>& bases,
                metadata::Budget& budget, const metadata::Patience& patience, FetchCounts& counts);
    void start(Document document, Accept accept, Done done);

  private:
    struct Sending;
    struct Judging;
    Task life();

    Loop& loop_;
    metadata::Mirrors& mirrors_;
    const std::vector<Url>& bases_;
    metadata::Budget& budget_;
    metadata::Patience patience_;
    FetchCounts& counts_;
    Document document_;
    Accept accept_;
    Done done_;
    std::unique_ptr<Fetch> fetch_;
    std::shared_ptr<char> here_ = std::make_shared<char>();  // for what is called later
    Task life_;
};

}  // namespace lichenlanding::net
