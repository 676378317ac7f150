#include "pollenring/net/request_parser.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "support/seeds.h"

using pollenring::HttpRequest;
using pollenring::internal::RequestParser;
using pollenring::internal::RequestState;

TEST_CASE("request parser: pieces of requests parse as the whole") {
  // Guards against states of the parser that depend on where reads end.
  const std::string bytes =
      "\r\n"
      "GET /1 HTTP/1.1\r\nhost: a\r\nA: b \r\n\r\n"
      "POST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nsome body"
      "PUT /3 HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n"
      "3;x=y\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nt: u\r\n\r\n"
      "HEAD /4 HTTP/1.1\r\nhost: b\r\n\r\n"
      "POST /5 HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
  const auto parse = [&bytes](const std::vector<std::size_t> &ends) {
    RequestParser parser{{1000, 20, 1000}};
    std::string seen;
    std::string pending;
    std::size_t from = 0;
    for (const std::size_t end : ends) {
      pending += bytes.substr(from, end - from);
      from = end;
      while (!pending.empty()) {
        pending.erase(0, parser.Feed(pending.data(), pending.size()));
        REQUIRE(parser.State() != RequestState::kRefused);
        if (parser.State() == RequestState::kPartial) break;
        const HttpRequest &request = parser.Request();
        seen += request.method + request.path + request.host + request.body;
        for (const auto &[name, value] : request.headers)
          seen += '[' + name + '=' + value + ']';
        parser.Reset();
      }
    }
    CHECK(pending.empty());
    return seen;
  };
  const std::string whole = parse({bytes.size()});
  REQUIRE(whole ==
          "GET/1a[a=b]POST/2asome bodyPUT/3abc0123456789abcdefHEAD/4b"
          "POST/5a");
  std::vector<std::size_t> each;
  for (std::size_t i = 1; i <= bytes.size(); ++i) {
    each.push_back(i);
    CHECK(parse({i, bytes.size()}) == whole);
  }
  CHECK(parse(each) == whole);
  for (const auto seed : support::Seeds(200)) {
    CAPTURE(seed);
    std::mt19937_64 random{seed};
    std::vector<std::size_t> ends;
    for (const std::size_t end : each)
      if (random() % 8 == 0) ends.push_back(end);
    ends.push_back(bytes.size());
    CHECK(parse(ends) == whole);
  }
}
