#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>

#include "fighatch/forward.h"
// Included after the forward declarations, so that the compiler rejects one of the wrong kind (class or enumeration) or
// with another underlying type.
#include "fighatch/fighatch.h"

namespace fighatch {
namespace {

// Guards against a public header that embedders miss because the umbrella header does not include it.
TEST(UmbrellaTest, IncludesEveryPublicHeader) {
  const std::filesystem::path folder = FIGHATCH_SOURCE_DIR "/include/fighatch";
  std::ifstream file(folder / "fighatch.h");
  const std::string umbrella((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    const std::string name = entry.path().filename().string();
    if (name == "fighatch.h" || name == "forward.h") continue;
    EXPECT_NE(umbrella.find("\"fighatch/" + name + "\""), std::string::npos) << name;
  }
}

}  // namespace
}  // namespace fighatch
