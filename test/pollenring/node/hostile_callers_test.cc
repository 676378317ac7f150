#include <catch2/catch.hpp>
#include <string>

#include "support/daemon_world.h"
#include "support/hostile_crowd.h"

namespace {

using namespace std::chrono_literals;
using support::CallerScript;
using support::DaemonWorld;
using support::HostileCrowd;
using support::ScriptedCaller;

constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
/*! @brief Memory of the daemon's VM. Small, so that few callers exceed it. */
constexpr std::size_t kMemoryMb = 64;
constexpr std::size_t kMaxDescriptors = 256;
/*! @brief Descriptors beyond which a node could hardly reach its targets. */
constexpr std::size_t kDescriptorBound = kMaxDescriptors * 3 / 4;

const std::string kKey{
    "host: a.example\r\nauthorization: Token key-of-the-club\r\n"};

/*! @brief Repeats a text up to a size. */
[[nodiscard]] std::string Repeated(const std::string &text, std::size_t size) {
  std::string repeated;
  while (repeated.size() < size) repeated += text;
  return repeated;
}

/*! @brief A chunked body that never ends. @param chunk Size of a chunk. @param
 * body Bytes of the body that are sent. */
[[nodiscard]] CallerScript Unended(std::size_t chunk, std::size_t body) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", chunk);
  const std::string one =
      std::string{size.data()} + std::string(chunk, 'b') + "\r\n";
  return {"POST /write/1 HTTP/1.1\r\n" + kKey +
              "transfer-encoding: chunked\r\n\r\n",
          Repeated(one, std::size_t{64} * 1024), body / chunk * one.size(),
          1000};
}

/*! @brief A body of an announced size, sent beyond any limit. */
[[nodiscard]] CallerScript Announced(std::size_t body) {
  return {"POST /write/1 HTTP/1.1\r\n" + kKey +
              "content-length: " + std::to_string(body) + "\r\n\r\n",
          std::string(std::size_t{64} * 1024, 'b'), body, 1000};
}

/*! @brief Asks for the long response and hardly reads it. */
[[nodiscard]] CallerScript SlowReader() {
  return {std::string{"GET "} + support::kLongPath + " HTTP/1.1\r\n" + kKey +
              "\r\n",
          {},
          0,
          1};
}

/*! @brief Asks for the long response on many streams. @param window Bytes of
 * each that it accepts. */
[[nodiscard]] CallerScript SlowStreams(unsigned window) {
  CallerScript script{support::Http2Start(window), {}, 0, 100};
  for (unsigned i = 0; i < 4; ++i)
    script.head +=
        support::Http2Head(1 + 2 * i, "GET", support::kLongPath, true);
  return script;
}

/*! @brief A head with fields that never end. */
[[nodiscard]] CallerScript EndlessHead(const std::string &field) {
  return {"GET /read/1 HTTP/1.1\r\n" + kKey, field, kMegabyte, 1000};
}

/*! @brief Streams that send most of a window's worth of a body and stop. */
[[nodiscard]] CallerScript IdleStreams() {
  CallerScript script{support::Http2Start(65535), {}, 0, 1000};
  const std::string data(16384, 'b');
  for (unsigned i = 0; i < 100; ++i) {
    const unsigned stream = 1 + 2 * i;
    script.head += support::Http2Head(stream, "POST", "/write/1", false);
    for (int frame = 0; frame < 3; ++frame)
      script.head += support::Http2Frame(0, 0, stream, data);
  }
  return script;
}

/*! @brief Streams that are reset as soon as their requests are complete. */
[[nodiscard]] CallerScript ResetStreams() {
  CallerScript script{support::Http2Start(65535), {}, 0, 1000};
  for (unsigned i = 0; i < 2000; ++i) {
    const unsigned stream = 1 + 2 * i;
    script.head += support::Http2Head(stream, "GET", "/read/1", true);
    script.head += support::Http2Frame(3, 0, stream, {'\0', '\0', '\0', '\10'});
  }
  return script;
}

/*! @brief A daemon in a small VM, with callers that exceed its limits. */
struct HostileWorld : DaemonWorld {
  explicit HostileWorld(int net)
      : DaemonWorld{net, kMaxDescriptors, kMemoryMb * kMegabyte},
        crowd{this->At(1, 7000)} {}

  /*! @brief Lets the crowd act until it is stuck, and checks the daemon. */
  void Run() {
    pollenring::Time moved_at = this->now.Now();
    const bool stuck = this->Await(
        [&] {
          if (this->crowd.Pump() > 0) moved_at = this->now.Now();
          this->Measure();
          return this->Process().Ended() || this->now.Now() - moved_at > 500ms;
        },
        60s);
    CHECK(stuck);
  }

  /*! @brief Checks that the daemon lives within its bounds and serves, while
   * the crowd's connections are open. */
  void Check() {
    INFO(this->Process().Log());
    CHECK_FALSE(this->Process().Ended());
    CHECK(this->Serves("GET /read/1 HTTP/1.1\r\n" + kKey + "\r\n", 0));
    // Larger than a turn's reads, so that it meets the crowd's share.
    CHECK(this->Serves(
        "POST /write/1 HTTP/1.1\r\n" + kKey + "content-length: 1048576\r\n\r\n",
        kMegabyte));
    CHECK(this->most_resident <= kMemoryMb * kMegabyte);
    CHECK(this->most_descriptors <= kDescriptorBound);
  }

  HostileCrowd crowd;

 private:
  void Measure() {
    this->most_resident =
        std::max(this->most_resident, this->Process().ResidentBytes());
    this->most_descriptors =
        std::max(this->most_descriptors, this->Process().Descriptors());
  }

  /*! @brief Whether an ordinary request gets its response; a refusal may be
   * repeated, as callers do. */
  [[nodiscard]] bool Serves(const std::string &head, std::size_t body) {
    for (int attempt = 0; attempt < 8; ++attempt) {
      if (this->Process().Ended()) return false;
      this->Beat();
      ScriptedCaller ordinary{this->At(1, 7000),
                              {head, std::string(65536, 'o'), body, 100000}};
      static_cast<void>(this->Await([&] {
        ordinary.Pump();
        this->crowd.Pump();
        this->Measure();
        return ordinary.Ended() || !ordinary.Received().empty() ||
               this->Process().Ended();
      }));
      if (ordinary.Received().rfind("HTTP/1.1 200", 0) == 0) return true;
      if (this->Process().Ended()) return false;
      static_cast<void>(this->Await([] { return false; }, 300ms));
    }
    return false;
  }

  pollenring::SystemClock now;
  std::size_t most_resident{};
  std::size_t most_descriptors{};
};

}  // namespace

// Each crowd offers more than the VM's memory at once. It ended the process
// when the bytes of incomplete requests and unread responses were unbounded.

TEST_CASE("hostile callers: chunked bodies that stop short of their end") {
  const std::size_t chunk = GENERATE(1U, 65536U);
  HostileWorld world{chunk == 1 ? 180 : 181};
  CAPTURE(chunk);
  world.crowd.Add(Unended(chunk, kMegabyte * 3 / 2), 64);
  world.Run();
  world.Check();
}

TEST_CASE("hostile callers: bodies over the limit") {
  const bool announced = GENERATE(true, false);
  HostileWorld world{announced ? 182 : 183};
  CAPTURE(announced);
  world.crowd.Add(
      announced ? Announced(80 * kMegabyte) : Unended(65536, 80 * kMegabyte),
      16);
  world.Run();
  world.Check();
}

TEST_CASE("hostile callers: long responses that are read slowly") {
  const int form = GENERATE(0, 1, 2);
  HostileWorld world{184 + form};
  CAPTURE(form);
  world.SetLongBytes(3 * kMegabyte);
  // Few at a time, so that the target's slots and rate admit them.
  for (int batch = 0; batch < 8; ++batch) {
    if (form == 0) world.crowd.Add(SlowReader(), 8);
    if (form == 1) world.crowd.Add(SlowStreams(65535), 2);
    if (form == 2) world.crowd.Add(SlowStreams(1), 2);
    world.Run();
  }
  world.Check();
}

TEST_CASE("hostile callers: heads that never end and many idle streams") {
  HostileWorld world{187};
  world.crowd.Add(EndlessHead("x-a: " + std::string(4000, 'a') + "\r\n"), 24);
  world.crowd.Add(EndlessHead("a: b\r\n"), 24);
  world.crowd.Add(IdleStreams(), 20);
  world.crowd.Add(ResetStreams(), 4);
  world.Run();
  world.Check();
}

TEST_CASE("hostile callers: all kinds at once") {
  HostileWorld world{188};
  world.SetLongBytes(3 * kMegabyte);
  for (int round = 0; round < 4; ++round) {
    world.crowd.Add(SlowReader(), 3);
    world.crowd.Add(SlowStreams(1), 1);
    world.crowd.Add(Unended(1, kMegabyte), 4);
    world.crowd.Add(Unended(65536, 2 * kMegabyte), 4);
    world.crowd.Add(Announced(80 * kMegabyte), 1);
    world.crowd.Add(Unended(65536, 80 * kMegabyte), 1);
    world.crowd.Add(EndlessHead("a: b\r\n"), 2);
    world.crowd.Add(IdleStreams(), 2);
    world.crowd.Add(ResetStreams(), 1);
    world.Run();
  }
  world.Check();
}
