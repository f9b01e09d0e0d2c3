// The news that a proxy serves by: the configuration, the rollouts, the list of pods. Control nodes push what
// changes; proxies that watch each other compare what they hold by digests over ranges, and the older copy is
// mended from the newer. One room for all of them, so that a proxy cut off from every control node hears from
// its neighbours what it would have heard from those.
//
// Pure: time comes in as an argument, messages come and go as JSON values, in any order, doubled or lost.
// Nothing goes back: versions, numbers and editions only rise, and a pod only goes from ready to draining to
// gone. No clock tells what is newer.
#pragma once

#include <array>
#include <compare>
#include <functional>
#include <nlohmann/json.hpp>

#include "discovery/endpoint_set.hpp"

namespace lichenlanding::subscription {

using Json = nlohmann::json;

// Pods are compared in so many ranges of the hash of their ids.
constexpr std::size_t kDigestRanges = 16;

// Which list a copy follows: the term of the duty that its holder has, and the changes counted in that term.
// The higher is the newer; one edition has one content.
struct EndpointListVersion {
    std::uint64_t term = 0, sequence = 0;
    auto operator<=>(const EndpointListVersion&) const = default;
};

class ConfigurationCache {
  public:
    // What is done with what is newer. `configuration` gets the bytes as they travel (squeezed).
    struct Subscriber {
        std::function<void(const std::string& compressed)> onConfiguration;
        std::function<void(const std::string& text)> onRollouts;
        std::function<void(const discovery::EndpointEvent&)> onEndpointEvent;
    };
    // A follower (a proxy, heard by a control node) is told what it lacks and asked for nothing: the register
    // and the platform are the control nodes' sources.
    enum class MessageSource { controlNode, peerProxy, subscriber };
    using Reply = std::function<void(Json)>;  // down the connection that the message came by

    explicit ConfigurationCache(Subscriber subscriber) : subscriber_(std::move(subscriber)) {}

    // What a control node knows of itself. `number` of the newest order's change.
    void setConfiguration(std::uint32_t version, std::string compressed);
    bool setRollouts(std::int64_t number, std::string text);  // false where it is not newer
    // A whole list as the platform gave it to the holder of the duty in `term` (from 1): the change to be
    // pushed, or null. The first list of a term is told by digest() instead: nobody can chain a change to it.
    Json updateEndpoints(const std::vector<discovery::Endpoint>& endpoints, std::uint64_t term);
    void markEndpointsStale() { endpointsCurrent_ = false; }  // its list is no longer kept up to date

    // What there is, in short: to be told at the start of a connection and from time to time.
    Json digestMessage() const;
    Json versionsMessage() const;  // the numbers alone
    Json rolloutsMessage() const;  // the rollouts, whole
    // Whether a "want" comes from a copy that holds no pods, and what answers it and all of its kind: at a
    // start many ask at once. Likewise for the configuration.
    bool wantsFullList(const Json& want) const;
    Json fullEndpointsMessage() const;
    Json configurationMessage() const;
    // "digest", "want", "configuration", "rollouts", "pods"; false where the message is none of these.
    bool handleMessage(const Json& message, MessageSource from, Nanos now, const Reply& reply);

    std::uint32_t version() const { return version_; }
    bool endpointsCurrent() const { return endpointsCurrent_; }
    const EndpointListVersion& endpointListVersion() const { return endpointListVersion_; }
    std::uint64_t highestTermSeen() const {
        return highestTermSeen_;
    }  // the highest heard of, own ones among them
    const discovery::EndpointSet& endpoints() const { return endpoints_; }

  private:
    void compareDigest(const Json& theirs, MessageSource from, Nanos now, const Reply& reply);
    void answerFetch(const Json& want, const Reply& reply) const;
    void applyEndpoints(const Json& pods, MessageSource from, const Reply& reply);
    const std::array<std::uint64_t, kDigestRanges>& rangeHashes() const;
    void apply(const discovery::EndpointEvent& event);

    Subscriber subscriber_;
    std::uint32_t version_ = 0;
    std::string compressed_;
    std::int64_t rolloutsNumber_ = -1;
    std::string rollouts_;
    discovery::EndpointSet endpoints_;
    EndpointListVersion
        endpointListVersion_;  // of the list that the copy follows; changes name the one before them
    std::uint64_t highestTermSeen_ = 0;  // the highest heard of
    bool endpointsCurrent_ = false;
    std::uint32_t requestedVersion_ = 0;  // for this version, last
    Nanos requestedAt_ = 0;
    mutable std::array<std::uint64_t, kDigestRanges> rangeHashes_{};
    mutable bool sumsCurrent_ = true;
};

}  // namespace lichenlanding::subscription
