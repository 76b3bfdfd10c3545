// Whole files that commands read and write.

#ifndef SOURCE_CLIENT_TEXT_FILE_H_
#define SOURCE_CLIENT_TEXT_FILE_H_

#include <string>

#include "Source/base/error.h"

namespace heatherwick {

// "-" is the standard input.
Result<std::string> ReadFile(const std::string& path);

// Replaces the file as a whole, so that a crash leaves the old content.
Status ReplaceFile(const std::string& path, const std::string& content);

}  // namespace heatherwick

#endif  // SOURCE_CLIENT_TEXT_FILE_H_
