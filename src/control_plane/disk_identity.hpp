/// The identity of a replica's disk, read from the notes that are stored beside the register states. Pure
/// except for generateDiskId.
///
/// A replica is identified by its address and a random disk id, which is written when the disk is first used.
/// A machine that has lost its disk therefore returns as another member, and never answers for lost state.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "consensus/consensus.hpp"
#include "storage/replica_store.hpp"

namespace lichenlanding::control_plane {

using Notes = std::map<std::string, std::string>;

/// Names of the notes that are read at the start. They are part of the disk format.
inline const std::string kWritesNote = "writes";  ///< number of writes since the disk was first used, decimal
inline const std::string kWitnessNote = "witness";  ///< JSON object: highest write count seen, by disk id
inline const std::array<std::string, 5> kStoredNotes{storage::kDiskIdentityNote, storage::kEpochStateNote,
                                                     kWritesNote, kWitnessNote, storage::kLegacyMembersNote};

/// Settings that decide whether a replica founds the register.
struct FoundingRules {
    std::string address;             ///< this replica's
    std::vector<std::string> seeds;  ///< internal addresses, sorted
    bool bootstrap = false;          ///< the register is started for the first time
};

/// The contents and identity of a disk.
struct StoredReplica {
    std::string disk;          ///< disk id; newly generated if `isNew`
    consensus::Update update;  ///< register states and epoch state
    std::uint64_t writes = 0;
    std::map<std::string, std::uint64_t> witnessedWriteCounts;  ///< highest count seen, by disk id
    bool isNew = false;      ///< the id must be written before any message is sent
    bool isFounder = false;  ///< begins in epoch 0, whose members are the seeds
};

/// Throws nlohmann::json::exception or std::invalid_argument on malformed notes.
StoredReplica readIdentity(consensus::RegisterStates states, Notes notes, const FoundingRules& rules);

/// A random disk id of 16 hexadecimal digits.
std::string generateDiskId();

}  // namespace lichenlanding::control_plane
