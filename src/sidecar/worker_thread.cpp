#include "sidecar/worker_thread.hpp"

#include <sys/eventfd.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <stdexcept>

namespace lichenlanding::net {
namespace {

constexpr int niceness = 10;  // hits go first where the core is shared

}  // namespace

Worker::Worker(Loop& loop) : bell_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (bell_ < 0) throw std::runtime_error("cannot make an eventfd");
    heard_ = std::make_unique<Watch>(loop, bell_, Watch::readable, [this] { finished(); });
    thread_ = std::thread([this] { work(); });
}

Worker::~Worker() {
    {
        const std::lock_guard lock(mutex_);
        ends_ = true;
    }
    called_.notify_one();
    thread_.join();
    heard_.reset();
    close(bell_);
}

void Worker::run(std::function<void()> job, std::function<void()> then) {
    {
        const std::lock_guard lock(mutex_);
        waiting_.push_back({std::move(job), std::move(then)});
    }
    called_.notify_one();
}

void Worker::work() {
    setpriority(PRIO_PROCESS, static_cast<id_t>(syscall(SYS_gettid)), niceness);  // of this thread alone
    while (true) {
        std::unique_lock lock(mutex_);
        called_.wait(lock, [this] { return ends_ || !waiting_.empty(); });
        if (ends_) return;
        auto job = std::move(waiting_.front());
        waiting_.pop_front();
        lock.unlock();
        guarded(job.work);
        lock.lock();
        done_.push_back(std::move(job));
        lock.unlock();
        const std::uint64_t one = 1;
        if (write(bell_, &one, sizeof one) < 0) return;  // cannot be: the counter is far from full
    }
}

void Worker::finished() {
    std::uint64_t rung = 0;
    if (read(bell_, &rung, sizeof rung) < 0) return;
    std::deque<Job> done;
    {
        const std::lock_guard lock(mutex_);
        done.swap(done_);
    }
    for (auto& job : done) guarded(job.then);
}

}  // namespace lichenlanding::net
