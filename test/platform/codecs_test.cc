#include "platform/codecs.h"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using pollenring::CallEnvelope;
using pollenring::CallReply;
using pollenring::HttpRequest;
using pollenring::HttpResponse;
using pollenring::Outcome;
using pollenring::Reason;
using pollenring::TargetState;
using pollenring::platform::HttpCallerCodec;
using pollenring::platform::HttpHeartbeatCodec;
using pollenring::platform::HttpTargetCodec;
using pollenring::platform::JsonPolicyCodec;

[[nodiscard]] HttpRequest Beat(const std::string &body) {
  return {"POST", "/Instances.Heartbeat/i-1", {}, body, {}};
}

[[nodiscard]] Outcome Judged(const HttpResponse &response) {
  CallEnvelope envelope;
  envelope.root_id = "id1";
  return pollenring::ClassifyResponse(
             HttpTargetCodec{}.Read(envelope, response), response.status)
      .outcome;
}

}  // namespace

TEST_CASE("platform: a heartbeat is decoded") {
  const auto beat = HttpHeartbeatCodec{}.Decode(
      Beat(R"({"address":"10.0.0.9:80","born":5,"info":{"service":"s",
      "slots":8},"status":{"state":"ready","sequence":4,"cold_left_ms":9}})"));
  REQUIRE(beat);
  CHECK(beat->announcement.instance == "i-1");
  CHECK(beat->announcement.target.slots == 8);
  CHECK(beat->announcement.target.state == TargetState::kCold);
  CHECK(beat->started_at_ms == 5);
  CHECK(beat->sequence == 4);
  const auto leave = HttpHeartbeatCodec{}.Decode(
      {"POST", "/Instances.Deregister/i-1", {}, {}, {}});
  REQUIRE(leave);
  CHECK(leave->deregisters);
}

TEST_CASE("platform: a malformed heartbeat is rejected") {
  const std::string body = GENERATE(
      std::string{"\xff\xfe"}, std::string{"[]"}, std::string{"{}"},
      std::string{R"({"address":"10.0.0.9:80","info":{"service":"s"},
        "status":{"state":"ready","sequence":1}})"},
      std::string{R"({"address":7,"info":{"service":"s","slots":8},
        "status":{"state":"ready","sequence":1}})"},
      std::string{R"({"address":"10.0.0.9:80","info":{"service":"s","slots":8},
        "status":{"state":"asleep","sequence":1}})"},
      std::string{R"({"address":"10.0.0.9:80","info":{"service":"s","slots":0},
        "status":{"state":"ready","sequence":1}})"},
      std::string{R"({"address":"10.0.0.9:80","info":{"service":"s",
        "slots":"8"},"status":{"state":"ready","sequence":1}})"});
  CAPTURE(body);
  CHECK_FALSE(HttpHeartbeatCodec{}.Decode(Beat(body)));
}

TEST_CASE("platform: a configuration is decoded completely or not at all") {
  const auto policy = JsonPolicyCodec{}.Decode(R"({"version":"r12","routes":[
    {"name":"a","host":"h","prefix":"/p/","kind":"download","timeout_ms":800,
     "target_latency_ms":400,"priority":2,"attempts":2,"service":"s",
     "allow_anonymous":true},
    {"name":"b","host":"h","prefix":"/q/","kind":"non_idempotent",
     "split":[{"service":"s","weight":90},{"service":"t","weight":10}]}],
    "tenants":[{"name":"w","api_keys":["k"],"rate_per_s":4,"burst":9}]})");
  REQUIRE(policy);
  CHECK(policy->version == 12);
  REQUIRE(policy->routes.size() == 2);
  CHECK(policy->routes[0].idempotent);
  CHECK(policy->routes[0].keyless);
  CHECK(policy->routes[0].timeout == 800ms);
  CHECK_FALSE(policy->routes[1].idempotent);
  REQUIRE(policy->routes[1].parts.size() == 2);
  CHECK(policy->routes[1].parts[0].weight == 90);
  REQUIRE(policy->workspaces.size() == 1);
  CHECK(policy->workspaces[0].rate_limit.burst == 9);
  const std::string bad =
      GENERATE(std::string{"{"}, std::string{R"({"routes":[]})"},
               std::string{R"({"version":12,"routes":[]})"},
               std::string{R"({"version":"r","routes":[]})"},
               std::string{R"({"version":"r1","routes":[{"name":"a"}]})"});
  CHECK_FALSE(JsonPolicyCodec{}.Decode(bad));
}

TEST_CASE("platform: only responses that say so count as not executed") {
  const auto respond = [](int status, pollenring::HttpHeaders headers) {
    headers.push_back({"x-pollenring-attempt-id", "id1"});
    return HttpResponse{status, std::move(headers), {}};
  };
  const pollenring::HttpHeader stamp{"x-pollenring-response-stamp", "s"};
  CHECK(Judged(respond(200, {stamp})) == Outcome::kRan);
  CHECK(Judged(respond(500, {stamp})) == Outcome::kRan);
  CHECK(Judged(respond(200, {})) == Outcome::kUnknown);
  CHECK(Judged(respond(200, {stamp, {"content-encoding", "gzip"}})) ==
        Outcome::kUnknown);
  CHECK(Judged(respond(503, {stamp})) == Outcome::kUnknown);
  CHECK(Judged(respond(503, {{"x-pollenring-not-executed", "1"}})) ==
        Outcome::kNotRun);
  CHECK(Judged(respond(421, {})) == Outcome::kNotRun);
  CHECK(Judged({200, {stamp, {"x-pollenring-attempt-id", "id2"}}, {}}) ==
        Outcome::kUnknown);
}

TEST_CASE("platform: the rate limit that a response states is read") {
  const auto rate = [](const std::string &text) {
    const HttpResponse response{200, {{"server-limit", text}}, {}};
    return HttpTargetCodec{}.Read(CallEnvelope{}, response).rate_limit;
  };
  CHECK(rate("16.8") == 16.8);
  CHECK(rate("0") == 0.0);
  const std::string bad = GENERATE("", "many", "-1", "1e999", "nan", "5 a");
  CAPTURE(bad);
  CHECK_FALSE(rate(bad));
}

// Guards against admission and routing by reports that can't be true.
TEST_CASE("platform: the load that a response reports is read") {
  const auto read = [](const std::string &text) {
    const HttpResponse response{200, {{"x-pollenring-server-load", text}}, {}};
    return HttpTargetCodec{}.Read(CallEnvelope{}, response);
  };
  const auto full = read("3,1, 54,130").load;
  REQUIRE(full);
  CHECK(full->running == 3);
  CHECK(full->waiting == 1);
  CHECK(full->slots == 54);
  CHECK(full->slowness == 130);
  CHECK(full->states_slowness);
  const auto former = read("3,0,54").load;
  REQUIRE(former);
  CHECK(former->slowness == 100);
  CHECK_FALSE(former->states_slowness);
  CHECK_FALSE(read("").invalid_load);
  const std::string bad =
      GENERATE("3,0", "3,0,0", "-1,0,54", "3,0,54,0", "3,0,54,10001",
               "3,0,54,-5", "3,0,1000001", "nan,0,54", "3,0,54,100,1", "many",
               "3,0,54,1e999", "3,0,54,fast", ",");
  CAPTURE(bad);
  CHECK_FALSE(read(bad).load);
  CHECK(read(bad).invalid_load);
}

TEST_CASE("platform: neither keys nor forged headers reach a target") {
  const auto caller =
      HttpCallerCodec{}.Decode({{"authorization", "Token secret"},
                                {"x-pollenring-tenant", "forged"},
                                {"x-pollenring-caller-service", "f"},
                                {"x-pollenring-attempt-id", "id1"},
                                {"x-pollenring-deadline-ms", "250"},
                                {"accept", "text/plain"}});
  CHECK(caller.key == "secret");
  CHECK(caller.id == "id1");
  CHECK(caller.remaining == pollenring::Duration{250ms});
  REQUIRE(caller.headers.size() == 1);
  CHECK(caller.headers[0].name == "accept");
}

TEST_CASE("platform: a refusal carries retry-after in seconds") {
  CallReply reply;
  reply.status = 503;
  reply.reason = Reason::kOverload;
  reply.retry_after_us = 450'000;
  const HttpResponse response = HttpCallerCodec{}.Encode(reply, {}, "id1");
  CHECK(FindHeader(response.headers, "retry-after") == "0.450");
  CHECK(FindHeader(response.headers, "x-pollenring-response-stamp").empty());
}
