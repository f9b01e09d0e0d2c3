// One thread beside the loop, for work that would hold hits up: verifying large documents, syncing files.
// Jobs run one after another; what follows each runs on the loop.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include "sidecar/event_loop.hpp"

namespace lichenlanding::net {

class Worker {
  public:
    explicit Worker(Loop& loop);
    ~Worker();  // waits for the job at hand; what waits behind it never runs, and nothing follows
    Worker(const Worker&) = delete;

    // What the job touches is its own until `then` is called. An exception in it is logged, and `then`
    // follows.
    void run(std::function<void()> job, std::function<void()> then);

  private:
    struct Job {
        std::function<void()> work, then;
    };
    void work();
    void finished();

    int bell_;  // an eventfd: rung when a job is done
    std::mutex mutex_;
    std::condition_variable called_;
    std::deque<Job> waiting_, done_;
    bool ends_ = false;
    std::unique_ptr<Watch> heard_;
    std::thread thread_;
};

}  // namespace lichenlanding::net
