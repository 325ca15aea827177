// Runs a fuzz target over its corpus and a fixed number of mutations of it.
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include <trefoil/base/random.hpp>

// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace {

void run_one(const std::string& bytes) {
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

std::string read_file(const std::filesystem::path& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

void mutate(std::string& bytes, trefoil::random_source& random) {
    constexpr std::uint64_t max_changes = 4;
    const auto changes = 1 + random.below(max_changes);
    for (std::uint64_t i = 0; i < changes; ++i) {
        const auto at = random.below(bytes.size() + 1);
        switch (random.below(4)) {
        case 0:
            bytes.insert(at, 1, static_cast<char>(random()));
            break;
        case 1:
            bytes.erase(at, 1 + random.below(8));
            break;
        case 2:
            bytes.insert(at, bytes.substr(random.below(bytes.size() + 1), random.below(32)));
            break;
        default:
            if (at < bytes.size()) {
                bytes[at] = static_cast<char>(random());
            }
            break;
        }
    }
}

} // namespace

int main(int argc, char** argv) {
    constexpr int mutations_per_file = 3000;
    if (argc != 2) {
        std::fputs("usage: FUZZ_TEST CORPUS_DIRECTORY\n", stderr);
        return 2;
    }
    std::set<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(argv[1])) {
        files.insert(entry.path());
    }
    trefoil::random_source random(1);
    for (const auto& file : files) {
        const auto bytes = read_file(file);
        run_one(bytes);
        for (int i = 0; i < mutations_per_file; ++i) {
            auto changed = bytes;
            mutate(changed, random);
            run_one(changed);
        }
    }
    std::printf("%zu files, %zu inputs\n", files.size(), files.size() * (mutations_per_file + 1));
    return files.empty() ? 1 : 0;
}
