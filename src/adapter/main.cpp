// The adapter: batches of events on standard input, one reply of actions each on standard output. It hosts
// any number of instances; they share nothing.
#include <array>
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>

#include "adapter/instance.hpp"

using namespace lichenlanding;
using namespace lichenlanding::wire;

namespace {

std::array<std::vector<Row>, 16> ledgers;
std::map<std::int64_t, std::unique_ptr<Instance>> instances;
std::string reply;

std::string nextLine() {
    std::string text;
    if (!std::getline(std::cin, text)) throw Unreadable("cannot read batch: field GO");
    if (!text.empty() && text.back() == '\r') text.pop_back();
    return text;
}

void readLedger(Line& line) {
    auto& ledger = ledgers[static_cast<std::size_t>(line.integer("slot", 0, 15))];
    ledger.clear();
    for (auto rows = line.integer("rows", 0, 1 << 24); rows > 0; --rows) {
        const auto text = nextLine();
        Line row(text);
        if (row.name() != "ROW") line.fail("rows");
        ledger.push_back(readRow(row));
    }
}

void readEvent(Line& line, Nanos now) {
    if (line.name() == "LEDGER") return readLedger(line);
    const auto who = line.integer("who", 0, 1LL << 32);
    try {
        if (line.name() == "STOP") {
            instances.erase(who);
        } else if (line.name() == "HELLO") {
            const auto seed = line.seed("nonce64");
            instances.erase(who);
            instances[who] =
                std::make_unique<Instance>(who, readSettings(readPairs(line.rest())), seed, now, reply);
        } else if (const auto found = instances.find(who); found != instances.end()) {
            found->second->read(line, now, ledgers.data());
        }
    } catch (const Unreadable&) {
        throw;
    } catch (const std::exception& failure) {
        instances.erase(who);
        reply += "FATAL\t" + std::to_string(who) + "\t" + failure.what() + "\n";
    }
}

bool readBatch() {
    std::string text;
    while (std::getline(std::cin, text))
        if (!text.empty() && text != "\r") break;
    if (!std::cin) return false;
    if (text.back() == '\r') text.pop_back();
    Line round(text);
    if (round.name() != "ROUND")
        throw Unreadable("cannot read " + std::string(round.name()) + ": field ROUND");
    const auto now = round.time("clockMs");
    for (;;) {
        const auto event = nextLine();
        if (event == "GO") return true;
        Line line(event);
        readEvent(line, now);
    }
}

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    try {
        while (readBatch()) {
            reply += "READY\n";
            std::fwrite(reply.data(), 1, reply.size(), stdout);
            std::fflush(stdout);
            reply.clear();
        }
    } catch (const std::exception& failure) {
        std::cerr << "lichenlanding_adapter: " << failure.what() << '\n';
        return 1;
    }
    return 0;
}
