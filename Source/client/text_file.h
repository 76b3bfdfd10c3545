// Reads and replaces whole text files for the commands.

#ifndef SOURCE_CLIENT_TEXT_FILE_H_
#define SOURCE_CLIENT_TEXT_FILE_H_

#include <string>

#include "Source/base/error.h"

namespace heatherwick {

// Reads a whole file; the path "-" stands for the standard input.
Result<std::string> ReadFile(const std::string& path);

// Writes a temporary file and renames it over the old one, so that a crash
// during the write leaves the old content.
Status ReplaceFile(const std::string& path, const std::string& content);

}  // namespace heatherwick

#endif  // SOURCE_CLIENT_TEXT_FILE_H_
