#include "daemon/settings_watch.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace fighatch::daemon {
namespace {

class SettingsWatchTest : public testing::Test {
 protected:
  ~SettingsWatchTest() override { std::remove(m_path.c_str()); }

  void Write(const std::string& text) const { std::ofstream(m_path) << text; }

  const std::string m_path = testing::TempDir() + "fighatch_settings_watch_test.json";
};

// Guards against a settings file that changes without a signal and is never reloaded.
TEST_F(SettingsWatchTest, NoticesAChangeOnce) {
  Write("{}");
  SettingsWatch watch(m_path);
  EXPECT_FALSE(watch.PollChange());
  Write("{ }");
  EXPECT_TRUE(watch.PollChange());
  EXPECT_FALSE(watch.PollChange());
}

// Guards against a replacement by a file of the same size that goes unnoticed.
TEST_F(SettingsWatchTest, NoticesAReplacedFile) {
  Write("{}");
  SettingsWatch watch(m_path);
  const std::string other = m_path + ".new";
  std::ofstream(other) << "[]";
  ASSERT_EQ(std::rename(other.c_str(), m_path.c_str()), 0);
  EXPECT_TRUE(watch.PollChange());
}

// Guards against a reload while the file is missing during a replacement, and against not noticing the new file.
TEST_F(SettingsWatchTest, IgnoresAMissingFile) {
  Write("{}");
  SettingsWatch watch(m_path);
  std::remove(m_path.c_str());
  EXPECT_FALSE(watch.PollChange());
  Write("{ }");
  EXPECT_TRUE(watch.PollChange());
}

}  // namespace
}  // namespace fighatch::daemon
