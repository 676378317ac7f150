#include "pollenring/net/http2_intake.h"

#include <catch2/catch.hpp>
#include <string>

#include "support/hostile_crowd.h"

using pollenring::Http2Intake;

// Guards against bodies that are not counted, or counted after their end.
TEST_CASE("http2 intake: counts bodies until their streams end") {
  const std::size_t stream_bytes = 8192;
  const std::string open = support::Http2Start(1) +
                           support::Http2Frame(1, 4, 1, std::string(10, 'h')) +
                           support::Http2Frame(0, 0, 1, std::string(300, 'b')) +
                           support::Http2Frame(1, 4, 3, std::string(20, 'h'));
  // Read at once, and in pieces that split headers and payloads.
  for (const std::size_t piece :
       {open.size(), std::size_t{1}, std::size_t{7}}) {
    Http2Intake intake;
    for (std::size_t at = 0; at < open.size(); at += piece)
      intake.Feed(std::string_view{open}.substr(at, piece));
    CHECK(intake.Bytes() == 330 + 2 * stream_bytes);
    intake.Feed(support::Http2Frame(0, 1, 1, std::string(50, 'b')));
    CHECK(intake.Bytes() == 20 + stream_bytes);
    intake.Feed(support::Http2Frame(3, 0, 3, std::string(4, '\0')));
    CHECK(intake.Bytes() == 0);
    intake.Feed(support::Http2Frame(1, 5, 5, std::string(10, 'h')));
    CHECK(intake.Bytes() == 0);
  }
}
