#include "fighatch/error.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

namespace fighatch {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Guards against a table of codes in the documentation that differs from the codes that the programs print.
TEST(ErrorCodeTest, DocumentationListsExactlyTheCodes) {
  const std::string page = ReadFile(FIGHATCH_SOURCE_DIR "/docs/errors.md");
  std::size_t rows = 0;
  for (const ErrorCodeName& entry : ErrorCodeTable()) {
    std::string row = "| " + std::to_string(static_cast<int>(entry.m_code)) + " | `";
    row.append(entry.m_name).append("` | ").append(entry.m_meaning).append(" |\n");
    EXPECT_NE(page.find(row), std::string::npos) << row;
    ++rows;
  }
  std::size_t documented = 0;
  for (std::size_t at = page.find("\n| "); at != std::string::npos; at = page.find("\n| ", at + 1)) ++documented;
  EXPECT_EQ(documented, rows + 1) << "one row for each code and the heading";
}

// Guards against wrong names of codes: the look-up is a binary search, which needs the table in ascending order.
TEST(ErrorCodeTest, EveryCodeHasItsName) {
  for (const ErrorCodeName& entry : ErrorCodeTable()) EXPECT_EQ(ErrorName(entry.m_code), entry.m_name);
  EXPECT_EQ(ErrorName(static_cast<ErrorCode>(9999)), "unknown");
}

}  // namespace
}  // namespace fighatch
