#include "sidecar/mirror_server.hpp"

#include <algorithm>

namespace lichenlanding::net {

Mirror::Mirror(Loop& loop, const Address& listen, const Figures& figures)
    : figures_(figures),
      front_(
          loop, listen, std::max<std::size_t>(figures.connections * 3 / 4, 1), figures.connections,
          [this](std::unique_ptr<Caller> caller) { took(std::move(caller)); },
          [this] { return !draining_ && !now_.empty(); }) {}

void Mirror::publish(Set documents) {
    std::size_t bytes = 0;
    for (const auto& [name, held] : documents) bytes += held->size();
    while (bytes > figures_.mostBytes && !documents.empty()) {
        const auto largest = std::max_element(documents.begin(), documents.end(), [](auto& one, auto& other) {
            return one.second->size() < other.second->size();
        });
        log(Kind::overload, "the mirror leaves out " + largest->first + ", " +
                                std::to_string(largest->second->size()) + " bytes");
        bytes -= largest->second->size();
        documents.erase(largest);
    }
    before_ = std::exchange(now_, std::move(documents));
    documentBytes_ = bytes;
    for (const auto& [name, held] : before_) {
        const auto still = now_.find(name);
        if (still == now_.end() || still->second != held) documentBytes_ += held->size();
    }
    if (documentBytes_ > figures_.mostBytes) {
        before_.clear();
        documentBytes_ = bytes;
    }
    makeRoom(0);
}

void Mirror::makeRoom(std::size_t bytes) {
    while (!used_.empty() && documentBytes_ + targetBytes_ + bytes > figures_.mostBytes) {
        const auto oldest = targets_.find(used_.front());
        targetBytes_ -= oldest->second.bytes->size();
        targets_.erase(oldest);
        used_.pop_front();
    }
}

void Mirror::hold(const std::string& name, std::string bytes) {
    if (holds(name)) return;
    makeRoom(bytes.size());
    if (documentBytes_ + targetBytes_ + bytes.size() > figures_.mostBytes) return;
    targetBytes_ += bytes.size();
    used_.push_back(name);
    targets_.emplace(name,
                     Held{std::make_shared<const std::string>(std::move(bytes)), std::prev(used_.end())});
}

Mirror::Bytes Mirror::find(const std::string& path) {
    const std::string_view metadata = metadataPath, targets = targetsPath;
    if (path.compare(0, metadata.size(), metadata) == 0) {
        const auto name = path.substr(metadata.size());
        for (const auto* set : {&now_, &before_})
            if (const auto found = set->find(name); found != set->end()) return found->second;
    }
    if (path.compare(0, targets.size(), targets) == 0)
        if (const auto found = targets_.find(path.substr(targets.size())); found != targets_.end()) {
            used_.splice(used_.end(), used_, found->second.used);
            return found->second.bytes;
        }
    return nullptr;
}

void Mirror::took(std::unique_ptr<Caller> caller) {
    if (caller->method() != EVHTTP_REQ_GET) return caller->refuse(405);
    if (draining_) return caller->answer(503, {}, {}, 1'000'000'000);
    const auto bytes = find(caller->path());
    if (!bytes) return caller->answer(404);
    ++served_;
    caller->answer(200, bytes, "application/json");
}

void Mirror::drain() {
    draining_ = true;
    front_.closeAfterAnswers();
}

}  // namespace lichenlanding::net
