#include "pollenring/net/response_parser.h"

#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "pollenring/core/random.h"

namespace {

using pollenring::SeededRandom;
using pollenring::internal::ResponseParser;
using pollenring::internal::ResponseState;

constexpr std::size_t kMaxBody = 4096;

/*! @brief Feeds bytes in pieces as a connection does. */
class Reader {
 public:
  /*! @param piece Bytes added at once; 0 for all. */
  void Receive(const std::string &bytes, std::size_t piece = 0) {
    const std::size_t step = piece == 0 ? bytes.size() : piece;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      this->input += bytes.substr(at, step);
      this->Drain();
    }
  }

  void Drain() {
    while (!this->input.empty() &&
           this->parser.State() == ResponseState::kPartial) {
      const std::size_t used =
          this->parser.Feed(this->input.data(), this->input.size());
      this->input.erase(0, used);
      if (used == 0) return;
    }
  }

  ResponseParser parser{false, kMaxBody};
  std::string input;
};

[[nodiscard]] std::string Head(const std::string &fields) {
  return "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
}

/*! @brief State after all bytes and an orderly end of the connection. */
[[nodiscard]] ResponseState StateAfter(const std::string &bytes,
                                       std::size_t piece) {
  Reader reader;
  reader.Receive(bytes, piece);
  reader.parser.End();
  return reader.parser.State();
}

}  // namespace

TEST_CASE("response parser: an invalid response is never complete") {
  const auto [what, bytes] = GENERATE(table<const char *, std::string>(
      {{"a blank in a name", Head("x y: 2\r\ncontent-length: 0\r\n")},
       {"a blank behind a name", Head("x-a : 2\r\ncontent-length: 0\r\n")},
       {"a blank in a length's name", Head("Content Length: 2\r\n") + "ok"},
       {"a blank behind a length's name",
        Head("Content-Length : 2\r\n") + "ok"},
       {"a control byte in a name", Head("x\x01y: 2\r\ncontent-length: 0\r\n")},
       {"a tab in a name", Head("x\ty: 2\r\ncontent-length: 0\r\n")},
       {"a byte above 127 in a name",
        Head("x\xc3\xa9: 2\r\ncontent-length: 0\r\n")},
       {"an empty name", Head(": 2\r\ncontent-length: 0\r\n")},
       {"a line without a colon", Head("nonsense\r\ncontent-length: 0\r\n")},
       {"a control byte in a value",
        Head("x: a\x02z\r\ncontent-length: 0\r\n")},
       {"a folded value", Head("x: a\r\n b\r\ncontent-length: 0\r\n")},
       {"a coding other than chunked",
        Head("transfer-encoding: gzip\r\n") + "coded"},
       {"chunked before another coding",
        Head("transfer-encoding: chunked, gzip\r\n") + "0\r\n\r\n"},
       {"another coding before chunked",
        Head("transfer-encoding: gzip, chunked\r\n") + "0\r\n\r\n"},
       {"chunked twice",
        Head("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n") +
            "0\r\n\r\n"},
       {"a coding and a length",
        Head("transfer-encoding: chunked\r\ncontent-length: 5\r\n") +
            "0\r\n\r\n"},
       {"a length and a coding",
        Head("content-length: 5\r\ntransfer-encoding: chunked\r\n") +
            "0\r\n\r\n"},
       {"a length twice",
        Head("content-length: 2\r\ncontent-length: 2\r\n") + "ok"},
       {"a list of lengths", Head("content-length: 2, 2\r\n") + "ok"},
       {"two lengths",
        Head("content-length: 2\r\ncontent-length: 3\r\n") + "ok!"},
       {"a negative length", Head("content-length: -2\r\n") + "ok"},
       {"a length with a sign", Head("content-length: +2\r\n") + "ok"},
       {"an empty length", Head("content-length:\r\n") + "ok"},
       {"a length that overflows",
        Head("content-length: 18446744073709551618\r\n") + "ok"},
       {"status 000", "HTTP/1.1 000 -\r\ncontent-length: 0\r\n\r\n"},
       {"status 099", "HTTP/1.1 099 -\r\ncontent-length: 0\r\n\r\n"},
       {"status 600", "HTTP/1.1 600 -\r\ncontent-length: 0\r\n\r\n"},
       {"status 999", "HTTP/1.1 999 -\r\ncontent-length: 0\r\n\r\n"},
       {"a status of two digits",
        "HTTP/1.1 20 OK\r\ncontent-length: 0\r\n\r\n"},
       {"a status of four digits",
        "HTTP/1.1 2000 OK\r\ncontent-length: 0\r\n\r\n"},
       {"version 9.9", "HTTP/9.9 200 OK\r\ncontent-length: 0\r\n\r\n"},
       {"version 2.0", "HTTP/2.0 200 OK\r\ncontent-length: 0\r\n\r\n"},
       {"bare line feeds", "HTTP/1.1 200 OK\ncontent-length: 0\n\n"},
       {"a bare line feed in the head",
        "HTTP/1.1 200 OK\r\nx: 1\ncontent-length: 0\r\n\r\n"},
       {"an unasked switch of protocols",
        "HTTP/1.1 101 Go\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n" +
            Head("content-length: 0\r\n")},
       {"an unknown interim status",
        "HTTP/1.1 199 -\r\n\r\n" + Head("content-length: 0\r\n")},
       {"an interim status with a length",
        "HTTP/1.1 100 -\r\ncontent-length: 2\r\n\r\nok" +
            Head("content-length: 0\r\n")},
       {"a chunk without its size's line end",
        Head("transfer-encoding: chunked\r\n") + "2ok\r\n0\r\n\r\n"},
       {"a chunk size with a sign",
        Head("transfer-encoding: chunked\r\n") + "+2\r\nok\r\n0\r\n\r\n"},
       {"a chunk longer than its size",
        Head("transfer-encoding: chunked\r\n") + "2\r\nokay\r\n0\r\n\r\n"},
       {"a blank before the status line", " HTTP/1.1 200 OK\r\n\r\n"}}));
  const std::size_t piece = GENERATE(0U, 1U, 7U);
  CAPTURE(what, piece);
  CHECK(StateAfter(bytes, piece) != ResponseState::kComplete);
}

TEST_CASE("response parser: a head that can't end is given up") {
  const std::string piece =
      GENERATE(std::string{"x"}, std::string{"HTTP/1.1 200 OK\r\nx: 1\r\n"},
               std::string{"x: 1\r\n"});
  Reader reader;
  reader.Receive("HTTP/1.1 200 OK\r\n");
  for (int i = 0; i < 400'000 && reader.input.size() < 400'000; ++i) {
    reader.Receive(piece);
    if (reader.parser.State() != ResponseState::kPartial) break;
  }
  CHECK(reader.parser.State() == ResponseState::kInvalid);
}

TEST_CASE("response parser: valid responses in all framings are read") {
  const auto [bytes, body] = GENERATE(table<std::string, std::string>(
      {{Head("content-length: 2\r\n") + "ok", "ok"},
       {Head("Content-Length:2\r\nX-A:\tb \r\n") + "ok", "ok"},
       {Head("transfer-encoding: chunked\r\n") +
            "1;ext=\"a\"\r\no\r\n1\r\nk\r\n0\r\nx-t: 1\r\n\r\n",
        "ok"},
       {Head("Transfer-Encoding: Chunked\r\n") + "2\r\nok\r\n0\r\n\r\n", "ok"},
       {"HTTP/1.0 200 OK\r\n\r\nok", "ok"},
       {"HTTP/1.1 204 -\r\n\r\n", ""},
       {"HTTP/1.1 503 \r\ncontent-length: 0\r\n\r\n", ""},
       {"HTTP/1.1 599 Odd\r\ncontent-length: 0\r\n\r\n", ""},
       {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nlink: x\r\n\r\n" +
            Head("content-length: 2\r\n") + "ok",
        "ok"}}));
  const std::size_t piece = GENERATE(0U, 1U, 7U);
  CAPTURE(bytes, piece);
  Reader reader;
  reader.Receive(bytes, piece);
  reader.parser.End();
  REQUIRE(reader.parser.State() == ResponseState::kComplete);
  CHECK(reader.parser.Response().body == body);
  for (const auto &header : reader.parser.Response().headers) {
    CHECK(header.name != "x-t");
  }
}

TEST_CASE("response parser: damaged responses never pass for other ones") {
  struct Sample {
    std::string head;
    std::string body;
    bool ends_with_connection;
  };
  const std::vector<Sample> samples{
      {Head("content-length: 9\r\nx-a: b\r\n"), "the body.", false},
      {Head("x-a: b\r\ntransfer-encoding: chunked\r\n"),
       "4\r\nthe \r\n5\r\nbody.\r\n0\r\n\r\n", false},
      {Head("x-a: b\r\n"), "the body.", true},
      {"HTTP/1.1 100 Go\r\n\r\n" + Head("content-length: 9\r\n"), "the body.",
       false}};
  SeededRandom random{48};
  for (int round = 0; round < 10'000; ++round) {
    const Sample &sample = samples[random.Index(samples.size())];
    const std::string whole = sample.head + sample.body;
    const std::size_t cut = random.Index(whole.size() + 1);
    const std::size_t piece = 1 + random.Index(12);
    const bool orderly = random.Chance(0.5);
    Reader reader;
    reader.Receive(whole.substr(0, cut), piece);
    if (orderly) reader.parser.End();
    const bool all_read = cut == whole.size();
    const bool head_read = cut >= sample.head.size();
    const bool meant_complete =
        sample.ends_with_connection ? head_read && orderly : all_read;
    CAPTURE(round, cut, piece, orderly, whole);
    REQUIRE((reader.parser.State() == ResponseState::kComplete) ==
            meant_complete);
    if (!meant_complete || !all_read) continue;
    CHECK(reader.parser.Response().body == "the body.");
    // A damaged byte in the head: it is refused, or it is still a response
    // whose fields are valid.
    std::string damaged = whole;
    constexpr std::array<char, 9> kBytes{' ',  '\t', '\x01', '\0', '\n',
                                         '\r', ':',  '\x7f', '0'};
    damaged[random.Index(sample.head.size())] =
        kBytes[random.Index(kBytes.size())];
    Reader other;
    other.Receive(damaged, piece);
    other.parser.End();
    if (other.parser.State() != ResponseState::kComplete) continue;
    CAPTURE(damaged);
    const auto &response = other.parser.Response();
    CHECK(response.status >= 200);
    CHECK(response.status <= 599);
    for (const auto &header : response.headers) {
      const bool token =
          !header.name.empty() &&
          header.name.find_first_not_of(
              "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz") ==
              std::string::npos;
      CHECK(token);
      for (const char c : header.value) {
        const auto byte = static_cast<unsigned char>(c);
        CHECK((byte == '\t' || (byte >= 0x20 && byte != 0x7f)));
      }
    }
  }
}
