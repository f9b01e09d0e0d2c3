// The store of a control node: written data is read back, and corruption and a full disk are reported as
// errors.
#include "storage/replica_store.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>

#include "support/transcript.hpp"

using namespace lichenlanding;
using storage::StorageError, storage::LmdbReplicaStore;

class ReplicaStoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReplicaStoreTest);
    CPPUNIT_TEST(writtenStatesAreReadAgain);
    CPPUNIT_TEST(changedByteFailsChecksum);
    CPPUNIT_TEST(fullDiskRefusesWholeWrite);
    CPPUNIT_TEST(rewritesDoNotGrowTheFile);
    CPPUNIT_TEST(storeAboveALoweredBoundIsKept);
    CPPUNIT_TEST_SUITE_END();

    std::string folder_;

    static std::map<std::string, consensus::RegisterState> oneState(const std::string& value,
                                                                    std::uint64_t round) {
        std::map<std::string, consensus::RegisterState> states;
        states["configuration"] = {{round, 7}, {round, 7}, value};
        return states;
    }

  public:
    void setUp() override {
        auto path = (std::filesystem::temp_directory_path() / "replica-store-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(path.data()));
        folder_ = path;
    }
    void tearDown() override { std::filesystem::remove_all(folder_); }

    void writtenStatesAreReadAgain() {
        {
            LmdbReplicaStore store(folder_, 8 << 20);
            store.write(oneState("first", 1), {{"members", "a,b,c"}});
            store.write(oneState(std::string(200'000, 'x'), 2), {});
        }
        LmdbReplicaStore store(folder_, 8 << 20);
        CPPUNIT_ASSERT_EQUAL(std::string("a,b,c"), store.note("members"));
        CPPUNIT_ASSERT_EQUAL(std::string(), store.note("none"));
        CPPUNIT_ASSERT(store.states() == oneState(std::string(200'000, 'x'), 2));
    }

    // A changed byte of a value on disk is detected by the checksum.
    void changedByteFailsChecksum() {
        {
            LmdbReplicaStore store(folder_, 8 << 20);
            store.write(oneState("the words that are looked for", 1), {});
        }
        std::fstream file(folder_ + "/data.mdb", std::ios::in | std::ios::out | std::ios::binary);
        std::stringstream bytes;
        bytes << file.rdbuf();
        const auto text = bytes.str();
        int changed = 0;
        for (auto at = text.find("the words that"); at != std::string::npos;
             at = text.find("the words that", at + 1), ++changed) {
            file.clear();
            file.seekp(static_cast<std::streamoff>(at));
            file.put('T');
        }
        file.close();
        CPPUNIT_ASSERT(changed > 0);
        LmdbReplicaStore store(folder_, 8 << 20);
        CPPUNIT_ASSERT_THROW(store.states(), StorageError);
    }

    // On a full disk the write fails as a whole and the earlier data remains. Writes succeed again once there
    // is room.
    void fullDiskRefusesWholeWrite() {
        auto store = std::make_unique<LmdbReplicaStore>(folder_, 8 << 20);
        store->write(oneState("kept", 1), {});
        rlimit original{};
        getrlimit(RLIMIT_FSIZE, &original);
        std::signal(SIGXFSZ, SIG_IGN);
        const rlimit currentSize{static_cast<rlim_t>(std::filesystem::file_size(folder_ + "/data.mdb")),
                                 original.rlim_max};
        setrlimit(RLIMIT_FSIZE, &currentSize);
        CPPUNIT_ASSERT_THROW(store->write(oneState(std::string(300'000, 'y'), 2), {}), StorageError);
        setrlimit(RLIMIT_FSIZE, &original);
        store = std::make_unique<LmdbReplicaStore>(folder_, 8 << 20);
        CPPUNIT_ASSERT(store->states() == oneState("kept", 1));
        store->write(oneState(std::string(300'000, 'y'), 2), {});
        CPPUNIT_ASSERT(store->states() == oneState(std::string(300'000, 'y'), 2));
    }

    // A store that was written under a higher bound is still read.
    void storeAboveALoweredBoundIsKept() {
        const auto large = oneState(std::string(4 << 20, 'z'), 1);
        std::make_unique<LmdbReplicaStore>(folder_, 16 << 20)->write(large, {});
        const LmdbReplicaStore store(folder_, 1 << 20);
        CPPUNIT_ASSERT(store.states() == large);
    }

    // The file does not grow with the number of rewrites: 300 configurations need no more space than a few.
    void rewritesDoNotGrowTheFile() {
        LmdbReplicaStore store(folder_, 8 << 20);
        for (int at = 1; at <= 300; ++at)
            store.write(oneState(std::string(60'000, static_cast<char>('a' + at % 26)),
                                 static_cast<std::uint64_t>(at)),
                        {});
        CPPUNIT_ASSERT(std::filesystem::file_size(folder_ + "/data.mdb") < 600'000);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaStoreTest);
