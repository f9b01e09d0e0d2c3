#include "sidecar/worker_thread.hpp"

#include <sys/eventfd.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <stdexcept>

namespace lichenlanding::sidecar {
namespace {

constexpr int kNiceness = 10;  // the event loop has priority where they share a core

}  // namespace

WorkerThread::WorkerThread(EventLoop& loop) : completionEvent_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (completionEvent_ < 0) throw std::runtime_error("cannot create an eventfd");
    completionWatch_ = std::make_unique<EventWatch>(loop, completionEvent_, EventWatch::kReadable,
                                                    [this] { runContinuations(); });
    thread_ = std::thread([this] { runJobs(); });
}

WorkerThread::~WorkerThread() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wakeUp_.notify_one();
    thread_.join();
    completionWatch_.reset();
    close(completionEvent_);
}

void WorkerThread::run(std::function<void()> job, std::function<void()> continuation) {
    {
        const std::lock_guard lock(mutex_);
        queued_.push_back({std::move(job), std::move(continuation)});
    }
    wakeUp_.notify_one();
}

void WorkerThread::runJobs() {
    setpriority(PRIO_PROCESS, static_cast<id_t>(syscall(SYS_gettid)), kNiceness);  // of this thread only
    while (true) {
        std::unique_lock lock(mutex_);
        wakeUp_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
        if (stopping_) return;
        auto job = std::move(queued_.front());
        queued_.pop_front();
        lock.unlock();
        logExceptions(job.work);
        lock.lock();
        done_.push_back(std::move(job));
        lock.unlock();
        const std::uint64_t one = 1;
        if (write(completionEvent_, &one, sizeof one) < 0)
            return;  // cannot happen: the counter is far from its maximum
    }
}

void WorkerThread::runContinuations() {
    std::uint64_t count = 0;
    if (read(completionEvent_, &count, sizeof count) < 0) return;
    std::deque<Job> done;
    {
        const std::lock_guard lock(mutex_);
        done.swap(done_);
    }
    for (auto& job : done) logExceptions(job.continuation);
}

}  // namespace lichenlanding::sidecar
