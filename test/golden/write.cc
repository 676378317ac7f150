// Writes the golden messages of the build whose headers it is compiled with.
#include <cstdio>
#include <string>

#include "golden/landed_values.h"

namespace {

template <typename Value>
void Write(const char *name, const Value &value) {
  std::printf("%s ", name);
  for (const char byte : pollenring::Pack(value)) {
    std::printf("%02x", static_cast<unsigned char>(byte));
  }
  std::printf("\n");
}

}  // namespace

int main() {
  Write("gossip", support::GoldenGossip());
  Write("members", std::vector<pollenring::Member>{support::GoldenMember()});
  Write("digests", support::GoldenAsk{support::GoldenDigests()});
  Write("records", support::GoldenRecords());
  Write("call", support::GoldenEnvelope());
  Write("reply", support::GoldenReply(pollenring::Reason::kOverload));
  Write("borrow", support::GoldenBorrow());
  Write("loan", support::GoldenLoan());
}
