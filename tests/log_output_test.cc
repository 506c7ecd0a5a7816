#include <glog/logging.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <functional>
#include <string>

#include "daemon/program.h"

namespace fighatch::daemon {
namespace {

// Runs `body` in a child process that logs to a pipe, and reaps the child. Returns the descriptor to read the log from.
int LogInChild(const std::function<void()>& body) {
  std::array<int, 2> ends{};
  EXPECT_EQ(pipe(ends.data()), 0);
  const pid_t child = fork();
  if (child == 0) {
    dup2(ends[1], STDOUT_FILENO);
    StartLogging("log_output_test", LogOutput::kStandardOutput);
    body();
    raise(SIGKILL);
  }
  close(ends[1]);
  EXPECT_EQ(waitpid(child, nullptr, 0), child);
  return ends[0];
}

std::string ReadAll(int descriptor) {
  std::string text;
  std::array<char, 4096> buffer{};
  for (ssize_t count = 0; (count = read(descriptor, buffer.data(), buffer.size())) > 0;) {
    text.append(buffer.data(), static_cast<std::size_t>(count));
  }
  close(descriptor);
  return text;
}

// Guards against a log that lacks the last lines of a process that was killed, or ends within one.
TEST(LogOutputTest, KilledProcessHasWrittenItsLastLine) {
  const std::string text = ReadAll(LogInChild([] {
    for (int line = 0; line < 100; ++line) LOG(INFO) << "event=line number=" << line;
  }));
  EXPECT_TRUE(text.ends_with("event=line number=99\n"))
      << text.substr(text.size() - std::min<std::size_t>(200, text.size()));
}

// Guards against a process that waits for the reader of its log: the test ends only if the child does.
TEST(LogOutputTest, FullPipeDoesNotBlock) {
  const std::string text = ReadAll(LogInChild([] {
    for (int line = 0; line < 20000; ++line) LOG(INFO) << "event=line number=" << line;
  }));
  EXPECT_FALSE(text.empty());
}

}  // namespace
}  // namespace fighatch::daemon
