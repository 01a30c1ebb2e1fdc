#include <doctest/doctest.h>

#include <kingcupseam/storage.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace kingcupseam;
using namespace kingcupseam::storage;

namespace {

entry command(std::uint64_t index, std::uint64_t term, std::string data) {
    return {index, term, entry_kind::command, std::move(data)};
}

std::vector<entry> commands(std::uint64_t first, std::uint64_t last, std::uint64_t term) {
    std::vector<entry> result;
    for (std::uint64_t n = first; n <= last; ++n) {
        result.push_back(command(n, term, "command " + std::to_string(n)));
    }
    return result;
}

class temporary_folder {
public:
    temporary_folder() {
        std::string name = (std::filesystem::temp_directory_path() / "kcs_storage_XXXXXX").string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        path = name;
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder() { std::filesystem::remove_all(path); }

    std::filesystem::path path;
};

void check_log_rules(log_store& store) {
    CHECK(store.last_index() == 0);
    CHECK(store.first_index() == 1);
    CHECK(store.term_at(0) == 0);
    store.append(commands(1, 5, 1));
    store.append(commands(6, 8, 2));
    CHECK(store.last_index() == 8);
    CHECK(store.term_at(5) == 1);
    CHECK(store.term_at(6) == 2);
    CHECK_FALSE(store.term_at(9).has_value());
    CHECK_THROWS_AS(store.append(commands(10, 10, 2)), invalid_input);
    CHECK(store.entries(1, 1).size() == 1);
    CHECK(store.entries(1, 1 << 20).size() == 8);
    CHECK(store.entries(9, 100).empty());
    const std::size_t bytes = std::string("command 1").size();
    CHECK(store.entry_bytes() == 8 * bytes);
    store.truncate_after(7);
    CHECK(store.last_index() == 7);
    CHECK(store.entry_bytes() == 7 * bytes);
    store.save_snapshot({5, 1, "members", "state"});
    CHECK(store.first_index() == 6);
    CHECK(store.last_index() == 7);
    CHECK(store.entry_bytes() == 2 * bytes);
    CHECK(store.term_at(5) == 1);
    CHECK_FALSE(store.term_at(4).has_value());
    CHECK(store.entries(5, 100).empty());
    // A snapshot whose last entry is not in the log replaces the log.
    store.save_snapshot({7, 9, "members", "other"});
    CHECK(store.first_index() == 8);
    CHECK(store.last_index() == 7);
    CHECK(store.term_at(7) == 9);
    CHECK(store.entry_bytes() == 0);
}

} // namespace

// Guards against diskless voters, and tests with memory stores, that rely on other rules than file stores
// follow.
TEST_CASE("memory and file stores follow the same rules for logs and snapshots") {
    SUBCASE("in memory") {
        check_log_rules(*make_memory_log_store(7));
    }
    SUBCASE("in a folder") {
        const temporary_folder folder;
        check_log_rules(*open_file_log_store(folder.path));
    }
}

// Guards against a restart that loses the term, the vote or an entry.
TEST_CASE("a reopened file store has everything it acknowledged") {
    const temporary_folder folder;
    std::uint64_t identity = 0;
    {
        auto store = open_file_log_store(folder.path / "deep" / "data");
        identity = store->identity();
        store->save_hard_state({4, "a#1"});
        store->append(commands(1, 5, 3));
        store->save_snapshot({2, 3, "members", "state"});
        store->truncate_after(4);
        store->append(commands(5, 6, 4));
    }
    auto store = open_file_log_store(folder.path / "deep" / "data");
    CHECK(store->identity() == identity);
    CHECK(store->load_hard_state() == hard_state{4, "a#1"});
    CHECK(store->load_snapshot() == snapshot{2, 3, "members", "state"});
    CHECK(store->first_index() == 3);
    CHECK(store->last_index() == 6);
    CHECK(store->term_at(4) == 3);
    CHECK(store->term_at(5) == 4);
    CHECK(store->entry_bytes() == 4 * std::string("command 3").size());

    SUBCASE("a store in a new folder has another identity, so a voter that lost its disk is a new member") {
        CHECK(open_file_log_store(folder.path / "other")->identity() != identity);
    }
    SUBCASE("a folder that is already open is refused, since two processes would vote as one member") {
        CHECK_THROWS_AS(open_file_log_store(folder.path / "deep" / "data"), io_error);
    }
}

// Guards against a voter that writes beside another one: the lock does not cover a folder that was put in
// place of the locked one.
TEST_CASE("a store stops writing files once its folder is another one") {
    const temporary_folder folder;
    const auto data = folder.path / "data";
    const auto store = open_file_log_store(data);
    store->append(commands(1, 3, 1));
    store->save_snapshot({1, 1, "members", "state"});
    std::filesystem::rename(data, folder.path / "former");
    SUBCASE("of the same name") {
        std::filesystem::create_directory(data);
        CHECK_THROWS_AS(store->save_snapshot({2, 1, "members", "state"}), folder_replaced);
        CHECK(std::filesystem::is_empty(data));
    }
    SUBCASE("or missing") {
        CHECK_THROWS_AS(store->save_snapshot({2, 1, "members", "state"}), folder_replaced);
    }
}

// Guards against starting a voter whose log is damaged, and against refusing one that only crashed while it
// was writing.
TEST_CASE("damage to a log file is distinguished from an incomplete last write") {
    const temporary_folder folder;
    const auto file = folder.path / "log";
    {
        auto store = open_file_log_store(folder.path);
        store->append(commands(1, 1, 1));
        store->append(commands(2, 2, 1));
        store->append(commands(3, 3, 1));
    }
    const auto size = std::filesystem::file_size(file);
    const auto flip = [&](std::uint64_t at) {
        std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
        stream.seekg(static_cast<std::streamoff>(at));
        const char byte = static_cast<char>(stream.get());
        stream.seekp(static_cast<std::streamoff>(at));
        stream.put(static_cast<char>(~byte));
    };
    SUBCASE("a file that ends inside the last record loses only that record") {
        for (std::uint64_t cut = 1; cut < 20; ++cut) {
            std::filesystem::resize_file(file, std::filesystem::file_size(file) - cut);
            auto store = open_file_log_store(folder.path);
            CHECK(store->last_index() == 2);
            store->append(commands(3, 3, 1));
        }
    }
    SUBCASE("a changed byte anywhere before the last record is corruption") {
        const std::uint64_t record = 28 + 1 + 25 + 9; // header, kind, fields of an entry, "command N"
        for (std::uint64_t at = 0; at < size - record; ++at) {
            flip(at);
            CHECK_THROWS_AS(open_file_log_store(folder.path), corrupt_log);
            flip(at);
        }
        CHECK(open_file_log_store(folder.path)->last_index() == 3);
    }
    SUBCASE("an empty file is corruption, since creation renames a complete file into place") {
        std::filesystem::resize_file(file, 0);
        CHECK_THROWS_AS(open_file_log_store(folder.path), corrupt_log);
    }
}

TEST_CASE("user data that contains records does not make an incomplete last write look like corruption") {
    const temporary_folder folder;
    const auto file = folder.path / "log";
    auto store = open_file_log_store(folder.path);
    store->append(commands(1, 3, 1));
    std::ifstream stream(file, std::ios::binary);
    const std::string content((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    store->append(std::vector<entry>{command(4, 1, content)});
    store.reset();
    std::filesystem::resize_file(file, std::filesystem::file_size(file) - 1);
    CHECK(open_file_log_store(folder.path)->last_index() == 3);
}
