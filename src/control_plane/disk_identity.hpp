/// Which disk a replica has, read from the notes beside its register states. Pure but for drawDiskId.
///
/// A replica is its address together with the random id that was written when its disk was first used. A lost
/// disk therefore never answers for what it held: the machine comes back as another member.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "consensus/consensus.hpp"
#include "storage/replica_store.hpp"

namespace lichenlanding::control_plane {

using Notes = std::map<std::string, std::string>;

/// Names of the notes that are read at the start: part of the disk format.
inline const std::string kWritesNote = "writes";    ///< how often the disk was ever written, decimal
inline const std::string kWitnessNote = "witness";  ///< JSON object: highest write count seen, by disk
inline const std::array<std::string, 5> kStoredNotes{storage::kDiskIdentityNote, storage::kEpochStateNote,
                                                     kWritesNote, kWitnessNote, storage::kLegacyMembersNote};

/// What a replica is told of founding by its settings.
struct FoundingRules {
    std::string address;             ///< its own
    std::vector<std::string> seeds;  ///< internal addresses, sorted
    bool bootstrap = false;          ///< this is the first start of the register
};

/// What a disk holds, and whose it is.
struct StoredReplica {
    std::string disk;          ///< identity; a new one where `isNew`
    consensus::Update update;  ///< register states and epoch state
    std::uint64_t writes = 0;
    std::map<std::string, std::uint64_t> witnessed;  ///< by disk
    bool isNew = false;                              ///< the identity must be written before anything is said
    bool isFounder = false;                          ///< epoch 0 begins with the seeds
};

/// Throws nlohmann::json::exception or std::invalid_argument on notes that no replica has written.
StoredReplica readIdentity(consensus::RegisterStates states, Notes notes, const FoundingRules& rules);

/// A random identity of 16 hexadecimal digits.
std::string drawDiskId();

}  // namespace lichenlanding::control_plane
