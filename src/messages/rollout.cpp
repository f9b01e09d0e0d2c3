#include "messages/rollout.hpp"

namespace lichenlanding::messages {

std::string versionKey(const std::string& service, const std::string& version) {
    return service + "\n" + version;
}

std::string Rollout::versionKey() const { return messages::versionKey(service, target); }

std::string Rollout::key() const {
    return generation == 0 ? versionKey() : versionKey() + "\n" + std::to_string(generation);
}

const Rollout* lastCompleted(const Rollouts& rollouts, const std::string& service) {
    const Rollout* last = nullptr;
    for (const auto& rollout : rollouts)
        if (rollout.service == service && rollout.completed() && (!last || rollout.number > last->number))
            last = &rollout;
    return last;
}

}  // namespace lichenlanding::messages
