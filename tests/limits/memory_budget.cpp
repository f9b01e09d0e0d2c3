#include "limits/memory_budget.hpp"

#include <doctest/doctest.h>

using lichenlanding::limits::MemoryBudget;

TEST_CASE("MemoryBudget: a share grows as far as the budget allows") {
    MemoryBudget budget(100);
    MemoryBudget::Share one(budget);
    MemoryBudget::Share other(budget);
    CHECK(one.resize(60));
    CHECK(other.resize(40));
    CHECK_FALSE(other.resize(41));
    CHECK(other.bytes() == 40);
    CHECK(budget.available() == 0);
    CHECK(one.resize(59));
    CHECK(other.resize(41));
}

TEST_CASE("MemoryBudget: a share beyond the budget leaves nothing for others") {
    MemoryBudget budget(100);
    MemoryBudget::Share one(budget);
    one.resizeUnconditionally(150);
    CHECK(budget.available() == 0);
    MemoryBudget::Share other(budget);
    CHECK_FALSE(other.resize(1));
    CHECK(one.resize(120));
    CHECK_FALSE(one.resize(121));
}

TEST_CASE("MemoryBudget: shares return what they hold, once") {
    MemoryBudget budget(100);
    {
        MemoryBudget::Share one(budget);
        CHECK(one.resize(30));
        MemoryBudget::Share moved(std::move(one));
        CHECK(budget.used() == 30);
        MemoryBudget::Share replaced(budget);
        CHECK(replaced.resize(20));
        replaced = std::move(moved);
        CHECK(budget.used() == 30);
    }
    CHECK(budget.used() == 0);
}

TEST_CASE("MemoryBudget: a share may outlive its budget, and one without a budget holds nothing") {
    MemoryBudget::Share share;
    CHECK(share.resize(0));
    CHECK_FALSE(share.resize(1));
    {
        MemoryBudget budget(10);
        share = MemoryBudget::Share(budget);
        CHECK(share.resize(10));
    }
    CHECK_FALSE(share.resize(11));
}
