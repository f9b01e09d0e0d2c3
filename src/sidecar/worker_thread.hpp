// One thread beside the event loop, for work that would delay requests: verification of large documents, and
// syncing files.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include "sidecar/event_loop.hpp"

namespace lichenlanding::sidecar {

class WorkerThread {
  public:
    /// Throws std::runtime_error if the eventfd cannot be created.
    explicit WorkerThread(EventLoop& loop);
    /// Waits for the running job. Queued jobs and all continuations are dropped.
    ~WorkerThread();
    WorkerThread(const WorkerThread&) = delete;

    /// Runs `job` on the thread, after all earlier jobs, then `continuation` on the loop. An exception from
    /// the job is logged, and the continuation still runs. Until then only the job may access the data it
    /// uses.
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
    std::deque<Job> queued_, done_;  // guarded by mutex_, like stopping_
    bool stopping_ = false;
    std::unique_ptr<EventWatch> completionWatch_;
    std::thread thread_;
};

}  // namespace lichenlanding::sidecar
