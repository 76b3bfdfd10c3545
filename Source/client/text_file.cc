// File access whose errors name the file, the cause and a remedy.

#include "Source/client/text_file.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

Error FileError(const std::string& path, const char* participle) {
  return {ErrorKind::kInvalidArgument,
          absl::StrCat(path, ": cannot be ", participle, ": ", strerror(errno)),
          "check the path and its permissions"};
}

}  // namespace

Result<std::string> ReadFile(const std::string& path) {
  std::ostringstream content;
  if (path == "-") {
    content << std::cin.rdbuf();
    return content.str();
  }
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  // A directory can be opened; only the first read fails.
  if (!file || (file.peek(), errno != 0)) {
    return FileError(path, "read");
  }
  if (!file.eof()) {
    content << file.rdbuf();
  }
  return content.str();
}

Status ReplaceFile(const std::string& path, const std::string& content) {
  const std::string temporary = absl::StrCat(path, ".new");
  std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
  file << content;
  file.close();
  if (!file || std::rename(temporary.c_str(), path.c_str()) != 0) {
    return FileError(path, "written");
  }
  return std::monostate{};
}

}  // namespace heatherwick
