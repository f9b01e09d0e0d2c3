// One thread beside the event loop, for work that would delay requests: verifying large documents, syncing
// files.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include "sidecar/event_loop.hpp"

namespace lichenlanding::sidecar {

class WorkerThread {
  public:
    /// Throws std::runtime_error.
    explicit WorkerThread(EventLoop& loop);
    /// Waits for the job that runs. Queued jobs and all continuations are dropped.
    ~WorkerThread();
    WorkerThread(const WorkerThread&) = delete;

    /// Runs `job` on the thread, after those before it, then `continuation` on the loop, also if the job
    /// threw, which is logged. What the job touches is its own until then.
    void run(std::function<void()> job, std::function<void()> continuation);

  private:
    struct Job {
        std::function<void()> work, continuation;
    };
    void runJobs();
    void runContinuations();

    int completionEvent_;  // an eventfd, written when a job is done
    std::mutex mutex_;
    std::condition_variable wakeUp_;
    std::deque<Job> queued_, done_;  // these and stopping_ under the mutex
    bool stopping_ = false;
    std::unique_ptr<EventWatch> completionWatch_;
    std::thread thread_;
};

}  // namespace lichenlanding::sidecar
