/* Replays the fuzzers' corpora as a regression test. */
#include <gtest/gtest.h>

#include "fuzz.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

typedef int target(const guint8 *data, gsize size);

static int replay(const char *name, target *run)
{
	int count = 0;

	for (const auto &file : std::filesystem::directory_iterator(
		     std::string("fuzz/corpus/") + name)) {
		std::ifstream stream(file.path(), std::ios::binary);
		std::vector<char> bytes(
			(std::istreambuf_iterator<char>(stream)), {});

		run(reinterpret_cast<const guint8 *>(bytes.data()),
		    bytes.size());
		count++;
	}
	return count;
}

TEST(Corpus, TomlInputsPass)
{
	EXPECT_GT(replay("fuzz_toml", fuzz_toml), 0);
}

TEST(Corpus, MessageInputsPass)
{
	EXPECT_GT(replay("fuzz_message", fuzz_message), 0);
}

TEST(Corpus, ConfigInputsPass)
{
	EXPECT_GT(replay("fuzz_config", fuzz_config), 0);
}

TEST(Corpus, PackInputsPass)
{
	EXPECT_GT(replay("fuzz_pack", fuzz_pack), 0);
}

TEST(Corpus, AssignmentInputsPass)
{
	EXPECT_GT(replay("fuzz_assignments", fuzz_assignments), 0);
}

TEST(Corpus, StorePageInputsPass)
{
	EXPECT_GT(replay("fuzz_store_page", fuzz_store_page), 0);
}
