// Entry point of heatherwick, the operators' command line.

#include <iostream>

#include "Source/client/client.h"

int main(int argc, char** argv) {
  return static_cast<int>(
      heatherwick::RunClient({argv + 1, argv + argc},
                             heatherwick::SettingsParser::ProcessEnvironment(),
                             &std::cout, &std::cerr));
}
