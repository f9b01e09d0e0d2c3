/// Accounts for memory that many owners share, such as the bodies of all requests in progress.
///
/// Pure: no I/O, no clock. Not thread-safe.
#pragma once

#include <cstddef>
#include <memory>

namespace lichenlanding::limits {

class MemoryBudget {
    struct Account {
        std::size_t capacity = 0;
        std::size_t used = 0;
        std::size_t available() const { return used < capacity ? capacity - used : 0; }
    };

  public:
    explicit MemoryBudget(std::size_t capacity) : account_(std::make_shared<Account>(Account{capacity, 0})) {}
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    std::size_t used() const { return account_->used; }
    std::size_t available() const { return account_->available(); }

    /// The bytes that one owner holds. They return to the budget when the share is destroyed or released; it
    /// may outlive the budget. A default-constructed share belongs to no budget and holds nothing.
    class Share {
      public:
        Share() = default;
        explicit Share(const MemoryBudget& budget) : account_(budget.account_) {}
        Share(Share&& other) noexcept;
        Share& operator=(Share&& other) noexcept;
        ~Share() { release(); }

        std::size_t bytes() const { return bytes_; }
        /// Changes the share to `bytes`. Returns false, without any change, if the budget lacks the
        /// difference. Making a share smaller always succeeds.
        bool resize(std::size_t bytes);
        /// Changes the share to `bytes`, beyond the budget if need be.
        void resizeUnconditionally(std::size_t bytes);
        void release() { resizeUnconditionally(0); }

      private:
        std::shared_ptr<Account> account_;
        std::size_t bytes_ = 0;
    };

  private:
    std::shared_ptr<Account> account_;
};

}  // namespace lichenlanding::limits
