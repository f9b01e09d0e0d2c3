#include "limits/memory_budget.hpp"

#include <utility>

namespace lichenlanding::limits {

MemoryBudget::Share::Share(Share&& other) noexcept
    : account_(std::move(other.account_)), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryBudget::Share& MemoryBudget::Share::operator=(Share&& other) noexcept {
    if (this == &other) return *this;
    release();
    account_ = std::move(other.account_);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
}

bool MemoryBudget::Share::resize(std::size_t bytes) {
    if (!account_) return bytes == 0;
    if (bytes > bytes_ && bytes - bytes_ > account_->available()) return false;
    resizeUnconditionally(bytes);
    return true;
}

void MemoryBudget::Share::resizeUnconditionally(std::size_t bytes) {
    if (!account_) return;
    account_->used += bytes;
    account_->used -= bytes_;
    bytes_ = bytes;
}

}  // namespace lichenlanding::limits
