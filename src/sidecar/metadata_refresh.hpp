// One update of what is trusted, and the targets looked up in it: the fetching round metadata::Update.
#pragma once

#include "sidecar/mirror_fetch.hpp"
#include "sidecar/trust_store.hpp"
#include "sidecar/worker_thread.hpp"

namespace lichenlanding::net {

class Refresh {
  public:
    using Done = std::function<void(Refresh&)>;

    // done is called once, from the loop, unless this is destroyed first; it may destroy this. With a worker,
    // verifying and keeping happen there, and the worker must be destroyed first.
    Refresh(Loop& loop, metadata::Mirrors& mirrors, const std::vector<Url>& bases, TrustStore& store,
            metadata::Update update, const metadata::Patience& patience, FetchCounts& counts, Worker* worker,
            Done done);

    void start();
    metadata::Update& update() { return update_; }
    metadata::Check refusal() const;

  private:
    struct Asking;
    Task life();
    void keep();
    void offered(const std::string& bytes);  // by a mirror; verified and kept

    Loop& loop_;
    Worker* worker_;
    metadata::Budget budget_;
    TrustStore& store_;
    metadata::Update update_;
    MirrorFetch fetch_;
    Done done_;
    std::shared_ptr<char> here_ = std::make_shared<char>();  // for what is called later
    Task life_;
};

// A listed target's bytes, verified by length and hash, from mirrors' target bases.
class Download {
  public:
    using Done = std::function<void(metadata::Result<std::string>)>;

    Download(Loop& loop, metadata::Mirrors& mirrors, const std::vector<Url>& bases,
             const metadata::Patience& patience, FetchCounts& counts);
    void start(const metadata::Found& found, bool consistent, std::size_t atMost, Done done);

  private:
    metadata::Budget budget_;
    MirrorFetch fetch_;
    std::string body_;
};

}  // namespace lichenlanding::net
