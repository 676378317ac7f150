#include "target.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace standin {
namespace {

using Json = nlohmann::json;
using pollenring::Duration;
using pollenring::FindHeader;
using pollenring::HttpClient;
using pollenring::HttpRequest;
using pollenring::HttpResponse;

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kMinErrorStatus = 400;
constexpr Duration kAnnouncePeriod = std::chrono::milliseconds{500};
constexpr Duration kCallTimeout = std::chrono::seconds{5};
constexpr Duration kDefaultDeadline = std::chrono::seconds{10};
constexpr Duration kDrainNoticePeriod = std::chrono::seconds{3};
/*! @brief Constant fraction of the service time; the rest is exponential. */
constexpr double kConstantFraction = 0.5;

}  // namespace

Target::Target(TargetOptions options, pollenring::Loop &loop,
               HttpClient &client)
    : options{std::move(options)},
      loop{loop},
      client{client},
      random{this->options.seed},
      start_time{loop.GetClock().Now()} {}

void Target::Start() {
  if (!this->options.direct.empty() || this->options.node.port == 0) return;
  this->Announce();
  this->loop.Every(kAnnouncePeriod, [this] { this->Announce(); });
}

void Target::Announce() {
  const Duration uptime = this->loop.GetClock().Now() - this->start_time;
  const bool cold = uptime < this->options.cold_start;
  const char *state = this->draining ? "draining" : cold ? "cold" : "warm";
  const Json json{{"service", this->options.service},
                  {"slots", this->options.slots},
                  {"state", state},
                  {"address", this->options.address.Format()}};
  const HttpRequest request{"POST",
                            "/.pollenring/announce",
                            {{"pollenring-secret", this->options.secret}},
                            json.dump()};
  this->client.Call(this->options.node, request, kCallTimeout,
                    [](HttpClient::Reply) {});
}

void Target::Drain() {
  if (std::exchange(this->draining, true)) return;
  this->Announce();
  this->loop.After(kDrainNoticePeriod, [this] {
    this->loop.Every(std::chrono::milliseconds{20}, [this] {
      if (this->running == 0 && this->waiting.empty()) this->loop.Stop();
    });
  });
}

void Target::Handle(HttpRequest request,
                    std::shared_ptr<pollenring::Responder> responder) {
  if (request.path == "/.standin/control") {
    this->Control(request.body);
    responder->Send({kOk, {}, "{}"});
    return;
  }
  if (request.path == "/.standin/report") {
    responder->Send({kOk, {}, this->Report()});
    return;
  }
  auto work = std::make_shared<Work>();
  work->request = std::move(request);
  work->responder = std::move(responder);
  const auto deadline =
      FindHeader(work->request.headers, "pollenring-deadline-ms");
  const Duration left =
      deadline.empty()
          ? kDefaultDeadline
          : std::chrono::milliseconds{std::atol(std::string{deadline}.c_str())};
  work->deadline = this->loop.GetClock().Now() + left;
  this->RecordArrival(*work);
  const std::size_t load = this->running + this->waiting.size();
  if (this->options.fixed_limit > 0 && load >= this->options.fixed_limit) {
    work->responder->Send({kUnavailable, {}, "limit"});
    return;
  }
  std::weak_ptr<Work> weak = work;
  work->responder->OnCancel([this, weak](pollenring::CallerDisconnect) {
    const auto locked = weak.lock();
    if (!locked || this->options.continues_after_disconnect) return;
    locked->caller_disconnected = true;
    this->client.Cancel(locked->call);
  });
  if (this->running < this->options.slots) {
    this->Begin(work);
    return;
  }
  this->waiting.push_back(work);
}

void Target::RecordArrival(const Work &work) {
  ++this->runs;
  const HttpRequest &request = work.request;
  const std::string id{FindHeader(request.headers, "pollenring-request-id")};
  if (request.method == "POST") ++this->runs_by_id[id];
  const std::string workspace{
      FindHeader(request.headers, "pollenring-workspace")};
  this->arrivals[workspace].push_back(this->loop.GetClock().Now().count());
  const auto contains = [](const std::string &text, const std::string &marker) {
    return text.find(marker) != std::string::npos;
  };
  for (const auto &marker : this->forbidden) {
    bool seen =
        contains(request.path, marker) || contains(request.body, marker);
    for (const auto &header : request.headers) {
      seen = seen || contains(header.value, marker) ||
             contains(header.name, marker);
    }
    if (seen) ++this->forbidden_seen;
  }
}

void Target::Begin(const WorkPtr &work) {
  ++this->running;
  if (this->options.latency_ms == 0) {
    this->CallNext(work, this->options.naive_retries);
    return;
  }
  this->loop.After(this->ServiceTime(), [this, work] {
    this->CallNext(work, this->options.naive_retries);
  });
}

Duration Target::ServiceTime() {
  const double varying = -std::log(1.0 - this->random.Fraction());
  const double factor = kConstantFraction + (1 - kConstantFraction) * varying;
  return Duration{
      static_cast<std::int64_t>(this->options.latency_ms * 1000 * factor)};
}

void Target::CallNext(const WorkPtr &work, int retries_left) {
  if (work->caller_disconnected) {
    this->Finish(work, kBadGateway, "gone");
    return;
  }
  if (work->next_call == this->options.downstream.size()) {
    // The query parameter sets the size of the response body.
    const auto size_at = work->request.path.find("?bytes=");
    std::string body = "{\"service\":\"" + this->options.service + "\"}";
    if (size_at != std::string::npos) {
      body.assign(std::stoul(work->request.path.substr(size_at + 7)), 'x');
    } else if (work->request.method == "POST" && !work->request.body.empty()) {
      body = work->request.body;
    }
    this->Finish(work, kOk, std::move(body));
    return;
  }
  const Downstream &next = this->options.downstream[work->next_call];
  HttpRequest request{"GET", "/" + next.service + next.path, {}, {}};
  const auto forward = [&](const char *name) {
    const auto value = FindHeader(work->request.headers, name);
    if (!value.empty()) request.headers.push_back({name, std::string{value}});
  };
  forward("pollenring-context");
  if (!this->options.direct.empty()) {
    request.path = next.path;
    forward("pollenring-request-id");
    forward("pollenring-workspace");
  }
  const Duration left = work->deadline - this->loop.GetClock().Now();
  if (left <= Duration{0}) {
    this->Finish(work, kUnavailable, "deadline");
    return;
  }
  work->call = this->client.Call(
      this->AddressFor(next.service), request, left,
      [this, work, retries_left](HttpClient::Reply reply) {
        const auto *response = std::get_if<HttpResponse>(&reply);
        const bool succeeded =
            response != nullptr && response->status < kMinErrorStatus;
        if (succeeded) {
          ++work->next_call;
          this->CallNext(work, this->options.naive_retries);
          return;
        }
        if (retries_left > 0 && !work->caller_disconnected) {
          this->CallNext(work, retries_left - 1);
          return;
        }
        this->Finish(work, kBadGateway, "downstream failed");
      });
}

pollenring::Address Target::AddressFor(const std::string &service) {
  const auto found = this->options.direct.find(service);
  if (found == this->options.direct.end()) return this->options.node;
  return found->second[this->random.Index(found->second.size())];
}

void Target::Finish(const WorkPtr &work, int status, std::string body) {
  if (status == kOk && !work->caller_disconnected) ++this->completed;
  if (status != kOk || work->caller_disconnected) ++this->wasted;
  work->responder->Send({status, {}, std::move(body)});
  --this->running;
  while (!this->waiting.empty() && this->running < this->options.slots) {
    const WorkPtr next = this->waiting.front();
    this->waiting.pop_front();
    if (next->caller_disconnected) continue;
    this->Begin(next);
  }
}

void Target::Control(const std::string &body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return;
  this->options.latency_ms = json.value("latency_ms", this->options.latency_ms);
  this->options.continues_after_disconnect =
      json.value("keeps_calls", this->options.continues_after_disconnect);
  this->options.slots = json.value("slots", this->options.slots);
  if (json.contains("forbidden")) {
    this->forbidden = json["forbidden"].get<std::vector<std::string>>();
  }
  if (json.value("drain", false)) this->Drain();
}

std::string Target::Report() const {
  std::uint64_t doubles = 0;
  for (const auto &[id, count] : this->runs_by_id) {
    if (count > 1) ++doubles;
  }
  Json ids = Json::object();
  for (const auto &[id, count] : this->runs_by_id) ids[id] = count;
  return Json{
      {"runs", this->runs},           {"completed", this->completed},
      {"wasted", this->wasted},       {"double_runs", doubles},
      {"runs_by_id", std::move(ids)}, {"forbidden_seen", this->forbidden_seen},
      {"arrivals_us", this->arrivals}}
      .dump();
}

}  // namespace standin
