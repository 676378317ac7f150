#ifndef POLLENRING_TOOLS_STANDIN_TARGET_H_
#define POLLENRING_TOOLS_STANDIN_TARGET_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/core/random.h"
#include "pollenring/net/http_client.h"
#include "pollenring/net/http_server.h"
#include "pollenring/net/loop.h"

namespace standin {

/*! @brief Downstream call made for each request. */
struct Downstream {
  std::string service;
  std::string path;
};

/*! @brief Configuration of a target. */
struct TargetOptions {
  std::string service;
  pollenring::Address address;
  pollenring::Address node; /*!< Its local node; unused with `direct`. */
  std::string secret;
  std::uint32_t slots{8};
  double latency_ms{5};
  bool continues_after_disconnect{};
  std::vector<Downstream> downstream;
  std::map<std::string, std::vector<pollenring::Address>> direct;
  int naive_retries{};       /*!< Retries per downstream call. */
  std::size_t fixed_limit{}; /*!< Rejects at this load; 0: no limit. */
  pollenring::Duration cold_start{};
  std::uint64_t seed{1};
};

/*! @brief Simulated target with slots, queue, latency and downstream calls. */
class Target {
 public:
  /**
   * @brief Constructs an idle target.
   * @param options Configuration.
   * @param loop Event loop; stopped once drained.
   * @param client Client for announcements and downstream calls.
   */
  Target(TargetOptions options, pollenring::Loop &loop,
         pollenring::HttpClient &client);

  /*! @brief Starts periodic announcements to its node. */
  void Start();

  /*! @brief Announces draining, finishes its requests, stops the loop. */
  void Drain();

  /**
   * @brief Handles one request.
   * @param request The request.
   * @param responder Receives the response.
   */
  void Handle(pollenring::HttpRequest request,
              std::shared_ptr<pollenring::Responder> responder);

 private:
  struct Work {
    pollenring::HttpRequest request;
    std::shared_ptr<pollenring::Responder> responder;
    std::size_t next_call{};
    bool caller_disconnected{};
    pollenring::Time deadline{};
    pollenring::HttpClient::CallId call{};
  };
  using WorkPtr = std::shared_ptr<Work>;

  void Announce();
  void Control(const std::string &body);
  [[nodiscard]] std::string Report() const;
  void RecordArrival(const Work &work);
  void Begin(const WorkPtr &work);
  void CallNext(const WorkPtr &work, int retries_left);
  void Finish(const WorkPtr &work, int status, std::string body);
  [[nodiscard]] pollenring::Address AddressFor(const std::string &service);
  [[nodiscard]] pollenring::Duration ServiceTime();

  TargetOptions options;
  pollenring::Loop &loop;
  pollenring::HttpClient &client;
  pollenring::SeededRandom random;
  std::deque<WorkPtr> waiting;
  std::size_t running{};
  std::uint64_t runs{};
  std::uint64_t completed{};
  std::uint64_t wasted{};
  std::unordered_map<std::string, std::uint64_t> runs_by_id;
  std::map<std::string, std::vector<std::int64_t>> arrivals;
  std::vector<std::string> forbidden;
  std::uint64_t forbidden_seen{};
  bool draining{};
  pollenring::Time start_time;
};

}  // namespace standin

#endif  // POLLENRING_TOOLS_STANDIN_TARGET_H_
