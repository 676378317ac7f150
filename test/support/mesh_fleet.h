#ifndef POLLENRING_TEST_SUPPORT_MESH_FLEET_H_
#define POLLENRING_TEST_SUPPORT_MESH_FLEET_H_

#include <catch2/catch.hpp>
#include <string>

#include "support/mesh_world.h"

namespace support {

using namespace std::chrono_literals;
using pollenring::HttpRequest;
using pollenring::HttpResponse;

/*! @brief Two routes to the deep service, one of them non-idempotent. */
inline constexpr const char *kConfig = R"({"version":"r3","routes":[
  {"name":"read","host":"a.example","prefix":"/read/","kind":"idempotent",
   "timeout_ms":1500,"target_latency_ms":500,"priority":1,"attempts":2,
   "service":"deep","allow_anonymous":false},
  {"name":"write","host":"a.example","prefix":"/write/",
   "kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":500,
   "priority":0,"attempts":2,"service":"deep","allow_anonymous":false}],
  "services":[{"name":"deep","cold_s":1.5,"cold_per_s":5}],
  "tenants":[{"name":"club","api_keys":["key-of-the-club"],
  "rate_per_s":1000,"burst":1000}]})";

/*! @brief Replaces the first match in a text. */
[[nodiscard]] inline std::string Replaced(std::string text,
                                          const std::string &what,
                                          const std::string &by) {
  return text.replace(text.find(what), what.size(), by);
}

/*! @brief Request headers with the key of tenant "club". */
[[nodiscard]] inline pollenring::HttpHeaders Headers(const std::string &id) {
  return {{"x-pollenring-attempt-id", id},
          {"x-pollenring-deadline-ms", "1400"},
          {"authorization", "Token key-of-the-club"}};
}

/*! @brief A response with the headers that prove it comes from the target. */
[[nodiscard]] inline HttpResponse Signed(const HttpRequest &request,
                                         int status) {
  return {
      status,
      {{"x-pollenring-attempt-id",
        std::string{FindHeader(request.headers, "x-pollenring-attempt-id")}},
       {"x-pollenring-response-stamp", "stamp"}},
      "from " +
          std::string{
              FindHeader(request.headers, "x-pollenring-caller-service")} +
          " for " +
          std::string{FindHeader(request.headers, "x-pollenring-tenant")}};
}

/*! @brief One front and two deep targets, ready to serve requests. */
struct MeshFleet : MeshWorld {
  MeshFleet(int net, const Endpoint &deep) : MeshWorld{net} {
    this->Store().PutConfig(kConfig);
    this->Start("front", [](const HttpRequest &request) {
      return Signed(request, 200);
    });
    this->Start("deep", deep);
    this->Start("deep", deep);
    for (int i = 1; i <= 3; ++i) {
      REQUIRE(this->Await([&] { return this->Ready(i) == 200; }, 8s));
      REQUIRE(this->Beat(i) == 200);
    }
    REQUIRE(this->Await(
        [&] {
          return this->Call(1, "GET", "/read/0", Headers("warm")).status == 200;
        },
        5s));
  }
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_MESH_FLEET_H_
