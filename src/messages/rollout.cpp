#include "messages/rollout.hpp"

namespace lichenlanding::messages {

std::string rolloutKey(const std::string& service, const std::string& target, std::int64_t generation) {
    const auto versionKey = service + "\n" + target;
    return generation == 0 ? versionKey : versionKey + "\n" + std::to_string(generation);
}

std::string Rollout::key() const { return rolloutKey(service, target, generation); }

const Rollout* lastCompleted(const Rollouts& rollouts, const std::string& service) {
    const Rollout* last = nullptr;
    for (const auto& rollout : rollouts)
        if (rollout.service == service && rollout.completed() && (!last || rollout.number > last->number))
            last = &rollout;
    return last;
}

}  // namespace lichenlanding::messages
