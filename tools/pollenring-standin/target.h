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

/*! @brief A call that a target makes for each request. */
struct Downstream {
  std::string service;
  std::string path;
};

/*! @brief How a target behaves. */
struct TargetOptions {
  std::string service;
  pollenring::Address address;
  pollenring::Address node; /*!< The node beside it; unused when direct. */
  std::string secret;
  std::uint32_t slots{8};
  double latency_ms{5};
  bool keeps_calls{}; /*!< Goes on when its caller has gone. */
  std::vector<Downstream> downstream;
  std::map<std::string, std::vector<pollenring::Address>> direct;
  int naive_retries{};       /*!< Used without a node only. */
  std::size_t fixed_limit{}; /*!< Refuse above it; 0 for no limit. */
  pollenring::Duration cold_start{};
  std::uint64_t seed{1};
};

/**
 * @brief A target with slots, a queue, a latency and calls to other services.
 */
class Target {
 public:
  /**
   * @brief Starts idle.
   * @param options Behaviour.
   * @param loop The loop.
   * @param client Client for its own calls.
   */
  Target(TargetOptions options, pollenring::Loop &loop,
         pollenring::HttpClient &client);

  /*! @brief Announces itself again and again. */
  void Start();

  /*! @brief Drains: tells the node, finishes its requests, ends the loop. */
  void Drain();

  /**
   * @brief Takes one request.
   * @param request The request.
   * @param responder Receives its answer.
   */
  void Handle(pollenring::HttpRequest request,
              std::shared_ptr<pollenring::Responder> responder);

 private:
  struct Work {
    pollenring::HttpRequest request;
    std::shared_ptr<pollenring::Responder> responder;
    std::size_t next_call{};
    bool gone{};
    pollenring::Time deadline{};
    pollenring::HttpClient::CallId call{};
  };
  using WorkPtr = std::shared_ptr<Work>;

  void Announce();
  void Control(const std::string &body);
  [[nodiscard]] std::string Report() const;
  void Record(const Work &work);
  void Begin(const WorkPtr &work);
  void CallNext(const WorkPtr &work, int tries_left);
  void Finish(const WorkPtr &work, int status, std::string body);
  [[nodiscard]] pollenring::Address PeerFor(const std::string &service);
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
  pollenring::Time started;
};

}  // namespace standin

#endif  // POLLENRING_TOOLS_STANDIN_TARGET_H_
