// Reads golden messages from standard input with the headers that it is
// compiled with, and writes them anew; what they can't read is named so.
#include <cstdio>
#include <iostream>
#include <string>

#include "golden/landed_values.h"

namespace {

[[nodiscard]] std::string FromHex(const std::string &hex) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < hex.size(); at += 2) {
    bytes += static_cast<char>(std::stoi(hex.substr(at, 2), nullptr, 16));
  }
  return bytes;
}

template <typename Value>
void Again(const std::string &name, const std::string &bytes) {
  const auto value = pollenring::Unpack<Value>(bytes);
  if (!value) {
    std::printf("%s unreadable\n", name.c_str());
    return;
  }
  std::printf("%s ", name.c_str());
  for (const char byte : pollenring::Pack(*value)) {
    std::printf("%02x", static_cast<unsigned char>(byte));
  }
  std::printf("\n");
}

}  // namespace

int main() {
  std::string name;
  std::string hex;
  while (std::cin >> name >> hex) {
    const std::string bytes = FromHex(hex);
    if (name == "gossip") Again<pollenring::Gossip>(name, bytes);
    if (name == "members") Again<std::vector<pollenring::Member>>(name, bytes);
    if (name == "digests") Again<support::GoldenAsk>(name, bytes);
    if (name == "records") Again<pollenring::RecordsOfParts>(name, bytes);
    if (name == "call") Again<pollenring::CallEnvelope>(name, bytes);
    if (name == "reply") Again<pollenring::CallReply>(name, bytes);
    if (name == "borrow") Again<pollenring::BorrowRequest>(name, bytes);
    if (name == "loan") Again<pollenring::BorrowReply>(name, bytes);
  }
}
