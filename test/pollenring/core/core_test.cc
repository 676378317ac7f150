#include "pollenring/core/core.h"

#include <catch2/catch.hpp>

#include "pollenring/net/address.h"
#include "pollenring/node/wire.h"

TEST_CASE("core: a request ID contains its creation time") {
  pollenring::SeededRandom random{1};
  const pollenring::WallTime wall{1'796'000'000'123};
  const auto id = pollenring::NewRequestId(wall, random);
  CHECK(pollenring::CreationTimeOf(id) == wall);
  CHECK_FALSE(pollenring::CreationTimeOf("x"));
  CHECK_FALSE(
      pollenring::CreationTimeOf("01a23e17-f120-4738-8fc6-c2d2b9936849"));
  CHECK_FALSE(
      pollenring::CreationTimeOf("01a23e17-f120-7738-0fc6-c2d2b9936849"));
  CHECK(id != pollenring::NewRequestId(wall, random));
}

TEST_CASE("core: addresses are parsed strictly") {
  const auto good = pollenring::Address::Parse("127.0.0.1:7000");
  REQUIRE(good);
  CHECK(good->Format() == "127.0.0.1:7000");
  for (const char *bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999",
                          "host:1", "1.2.3.4:5x"}) {
    CHECK_FALSE(pollenring::Address::Parse(bad));
  }
}

TEST_CASE("core: frames are decoded and truncated ones are rejected") {
  pollenring::CallEnvelope envelope;
  envelope.service = "s";
  envelope.importance = pollenring::Importance::kCritical;
  const auto framed = pollenring::Frame(envelope, "body");
  const auto decoded = pollenring::Unframe<pollenring::CallEnvelope>(framed);
  REQUIRE(decoded);
  CHECK(decoded->head.service == "s");
  CHECK(decoded->body == "body");
  for (std::size_t size = 0; size + 4 < framed.size(); ++size) {
    CHECK_FALSE(
        pollenring::Unframe<pollenring::CallEnvelope>(framed.substr(0, size)));
  }
}

TEST_CASE("core: digests and constant-time comparison") {
  CHECK(pollenring::Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(pollenring::EqualConstantTime("abc", "abc"));
  CHECK_FALSE(pollenring::EqualConstantTime("abc", "abd"));
  CHECK_FALSE(pollenring::EqualConstantTime("abc", "ab"));
  CHECK(pollenring::RandomHex(8) != pollenring::RandomHex(8));
}
