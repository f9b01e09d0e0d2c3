// The simulator's adapter: reads batches of events from standard input and writes a reply with the effects of
// each batch to standard output. It hosts any number of instances, which share no state.
#include <array>
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <optional>

#include "adapter/instance.hpp"

using namespace lichenlanding;
using namespace lichenlanding::adapter;

namespace {

class Adapter {
  public:
    /// Reads one batch and writes its reply. Returns false at the end of the input. Throws ParseError.
    bool handleBatch() {
        const auto first = readFirstLine();
        if (!first) return false;
        LineReader header(*first);
        if (header.messageName() != "ROUND")
            throw ParseError("cannot read " + std::string(header.messageName()) + ": field ROUND");
        const auto now = header.time("clockMs");
        for (auto event = readLine(); event != "GO"; event = readLine()) {
            LineReader line(event);
            handleEvent(line, now);
        }
        output_ += "READY\n";
        std::fwrite(output_.data(), 1, output_.size(), stdout);
        std::fflush(stdout);
        output_.clear();
        return true;
    }

  private:
    // Empty lines between batches are skipped.
    static std::optional<std::string> readFirstLine() {
        std::string text;
        while (std::getline(std::cin, text))
            if (!text.empty() && text != "\r") break;
        if (!std::cin) return {};
        if (text.back() == '\r') text.pop_back();
        return text;
    }

    static std::string readLine() {
        std::string text;
        if (!std::getline(std::cin, text)) throw ParseError("cannot read batch: field GO");
        if (!text.empty() && text.back() == '\r') text.pop_back();
        return text;
    }

    void handleLedger(LineReader& line) {
        auto& ledger = ledgers_[static_cast<std::size_t>(line.integer("slot", 0, 15))];
        ledger.clear();
        for (auto rows = line.integer("rows", 0, 1 << 24); rows > 0; --rows) {
            const auto text = readLine();
            LineReader row(text);
            if (row.messageName() != "ROW") line.fail("rows");
            ledger.push_back(readEndpointRow(row));
        }
    }

    void startInstance(std::int64_t number, LineReader& line, Nanos now) {
        const auto seed = line.seed("nonce64");
        instances_.erase(number);
        const auto settings = readSettings(readNamedValues(line.remainingFields()));
        instances_[number] = std::make_unique<Instance>(number, settings, seed, now, output_);
    }

    // Except for ParseError, an exception ends only the instance that threw it.
    void handleEvent(LineReader& line, Nanos now) {
        if (line.messageName() == "LEDGER") return handleLedger(line);
        const auto number = line.integer("who", 0, 1LL << 32);
        try {
            if (line.messageName() == "STOP") instances_.erase(number);
            else if (line.messageName() == "HELLO") startInstance(number, line, now);
            else if (const auto found = instances_.find(number); found != instances_.end())
                found->second->handle(line, now, ledgers_.data());
        } catch (const ParseError&) {
            throw;
        } catch (const std::exception& failure) {
            instances_.erase(number);
            output_ += "FATAL\t" + std::to_string(number) + "\t" + failure.what() + "\n";
        }
    }

    std::array<std::vector<EndpointRow>, 16> ledgers_;
    std::map<std::int64_t, std::unique_ptr<Instance>> instances_;
    std::string output_;
};

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    try {
        Adapter adapter;
        while (adapter.handleBatch()) continue;
    } catch (const std::exception& failure) {
        std::cerr << "lichenlanding_adapter: " << failure.what() << '\n';
        return 1;
    }
    return 0;
}
