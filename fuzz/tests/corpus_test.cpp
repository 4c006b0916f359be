#include "fuzz_targets.h"

#include "oriolehold/core/invariant.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <vector>

// CppUTest redefines new, so its header must be included last.
#include <CppUTest/TestHarness.h>

using namespace oriolehold;

namespace {

std::vector<std::filesystem::path> corpusFiles(std::string_view target)
{
    const std::filesystem::path folder =
            std::filesystem::path(ORIOLEHOLD_SOURCE_DIR) / "fuzz/corpus" / target;
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(folder))
        files.push_back(entry.path());
    std::ranges::sort(files);
    return files;
}

core::byte_vector readFile(const std::filesystem::path &file)
{
    std::ifstream stream(file, std::ios::binary);
    return { std::istreambuf_iterator<char>(stream), {} };
}

} // namespace

TEST_GROUP(corpus)
{
    void setup() override
    {
        m_handler = core::setInvariantHandler(&throwText);
    }
    void teardown() override
    {
        core::setInvariantHandler(m_handler);
    }

    static void throwText(std::string_view text, const char * /*file*/, int /*line*/)
    {
        throw std::runtime_error(std::string(text));
    }

    core::invariant_handler m_handler = nullptr;
};

// Replays the corpus, so that the return of a decoder fault that one of its inputs once showed is
// detected without a fuzzer.
TEST(corpus, EveryInputSatisfiesTheDecodersProperties)
{
    for (const fuzz::fuzz_target &target : fuzz::fuzzTargets()) {
        const auto files = corpusFiles(target.name);
        CHECK_FALSE(files.empty());
        for (const std::filesystem::path &file : files) {
            try {
                target.run(readFile(file));
            } catch (const std::exception &error) {
                FAIL((file.string() + ": " + error.what()).c_str());
            }
        }
    }
}

// Truncated inputs reach error paths that complete inputs do not.
TEST(corpus, EveryTruncatedInputSatisfiesTheDecodersProperties)
{
    for (const fuzz::fuzz_target &target : fuzz::fuzzTargets())
        for (const std::filesystem::path &file : corpusFiles(target.name)) {
            const core::byte_vector input = readFile(file);
            for (std::size_t size = 0; size < input.size(); ++size)
                // A copy of exact size lets the address sanitizer detect any read past the end.
                target.run(core::byte_vector(input.begin(),
                                             input.begin() + static_cast<std::ptrdiff_t>(size)));
        }
}
