#include "pollenring/quarantine/fingerprint.h"

#include <catch2/catch.hpp>
#include <set>

using pollenring::RequestFingerprinter;
using pollenring::RequestIdentity;

namespace {

[[nodiscard]] RequestIdentity Example() {
  return {"club", true, "GET", "a.example", "/read/1", "body"};
}

}  // namespace

TEST_CASE("fingerprint: requests that differ in one field differ") {
  const RequestFingerprinter fingerprinter{"secret"};
  const auto varied = [](auto change) {
    RequestIdentity identity = Example();
    change(identity);
    return identity;
  };
  const std::string long_body(5000, 'x');
  const std::string other_body = long_body + "y";
  const std::set<pollenring::Fingerprint> fingerprints{
      fingerprinter.Of(Example()),
      fingerprinter.Of(varied([](auto &r) { r.caller = "clu"; })),
      fingerprinter.Of(varied([](auto &r) { r.authenticated = false; })),
      fingerprinter.Of(varied([](auto &r) { r.method = "POST"; })),
      fingerprinter.Of(varied([](auto &r) { r.host = "b.example"; })),
      fingerprinter.Of(varied([](auto &r) { r.path = "/read/1b"; })),
      fingerprinter.Of(varied([](auto &r) { r.body = "ody"; })),
      fingerprinter.Of(varied([&](auto &r) { r.body = long_body; })),
      fingerprinter.Of(varied([&](auto &r) { r.body = other_body; })),
      RequestFingerprinter{"other"}.Of(Example()),
  };
  CHECK(fingerprints.size() == 10);
  CHECK(fingerprints.count(RequestFingerprinter{"secret"}.Of(Example())) == 1);
}

TEST_CASE("fingerprint: text is read as it was written") {
  CHECK(pollenring::FormatFingerprint(0x1f) == "000000000000001f");
  CHECK(pollenring::ParseFingerprint("000000000000001f") == 0x1f);
  for (const char *text : {"", "1f", "000000000000001g", "-00000000000001f",
                           "0000000000000001f"}) {
    CHECK_FALSE(pollenring::ParseFingerprint(text));
  }
}
