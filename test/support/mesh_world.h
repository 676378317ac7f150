#ifndef POLLENRING_TEST_SUPPORT_MESH_WORLD_H_
#define POLLENRING_TEST_SUPPORT_MESH_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/codecs.h"
#include "platform/store.h"
#include "pollenring/core/random.h"
#include "pollenring/link/link_client.h"
#include "pollenring/mesh/mesh_node.h"
#include "pollenring/net/http_client.h"
#include "pollenring/net/http_server.h"
#include "pollenring/net/loop.h"
#include "pollenring/storage/store_client.h"
#include "support/faulty_codecs.h"

namespace support {

/*! @brief A stand-in of the users' store, as their protocol describes it. */
class StoreStandIn {
 public:
  StoreStandIn(pollenring::Loop &loop, const pollenring::Address &address);

  /*! @brief Writes the operator's document. @param json Its text. */
  void PutConfig(const std::string &json);

  /*! @brief Writes a row of the product's own. */
  void Put(const std::string &key, const std::string &value);

  /*! @brief Whether a row of the product's own has a key that begins so. */
  [[nodiscard]] bool Has(const std::string &prefix) const;

  /*! @brief Withdraws a zone, or gives it back. */
  void Withdraw(const std::string &zone, bool withdrawn);

  /*! @brief Whether calls are answered with 503. @param down So. */
  void SetDown(bool down) { this->down = down; }

  /*! @brief Answers all calls with a text; with nothing, as it should. */
  void SetNonsense(std::optional<std::string> text) {
    this->nonsense = std::move(text);
  }

  /*! @brief Whether watches are never answered. @param silent So. */
  void SetSilent(bool silent) { this->silent = silent; }

  /*! @brief Forgets all changes up to now. */
  void DropHistory() { this->oldest = this->version; }

 private:
  struct StoredRow {
    std::uint64_t version{};
    std::string value; /*!< In base64, as it was sent. */
    bool dropped{};
  };
  using Key = std::pair<std::string, std::string>;
  struct Watch {
    std::string table;
    std::uint64_t after{};
    std::weak_ptr<pollenring::Responder> responder;
    std::shared_ptr<pollenring::Responder> held;
  };

  void Handle(const pollenring::HttpRequest &request,
              const std::shared_ptr<pollenring::Responder> &responder);
  void Get(const pollenring::HttpRequest &request,
           pollenring::Responder &responder) const;
  void Transact(const pollenring::HttpRequest &request,
                pollenring::Responder &responder);
  void Feed(const pollenring::HttpRequest &request,
            const std::shared_ptr<pollenring::Responder> &responder);
  void Notify();
  [[nodiscard]] std::string Rows(const std::string &table, std::uint64_t after,
                                 const std::string &from,
                                 const std::string &to) const;

  std::map<Key, StoredRow> rows;
  std::vector<Watch> watches;
  std::uint64_t version{1};
  std::uint64_t oldest{};
  bool down{};
  bool silent{};
  std::optional<std::string> nonsense;
  pollenring::Loop &loop;
  pollenring::HttpServer server;
};

/*! @brief Nodes, targets and a store in one process, on loopback. */
class MeshWorld {
 public:
  using Endpoint =
      std::function<pollenring::HttpResponse(const pollenring::HttpRequest &)>;

  /*! @brief Starts the store. @param net Third number of the addresses. */
  explicit MeshWorld(int net);

  /*! @brief Starts a node and its target. @param seeds Numbers of the nodes
   * that it is told of. @return Its number, from 1. */
  int Start(const std::string &service, Endpoint endpoint,
            const std::string &region = "r",
            const std::vector<int> &seeds = {});

  /*! @brief How long each target takes from now on. @param delay It. */
  void SetAnswerDelay(pollenring::Duration delay) {
    this->answer_delay = delay;
  }

  /*! @brief Sends the heartbeat of a node's target. @param state Its state.
   * @param cold_left How long it stays cold. @param started_at_ms Its start.
   * @return The answer's status. */
  int Beat(int index, const std::string &state = "ready",
           std::chrono::milliseconds cold_left = {}, int started_at_ms = 5);

  /*! @brief Tells a node that its target leaves, as targets do that report
   * nothing before. @return The answer's status. */
  int Depart(int index);

  /*! @brief Stops a node's target; its connections are refused. */
  void StopTarget(int index);

  /*! @brief Performs a request at a node's port for callers. */
  [[nodiscard]] pollenring::HttpResponse Call(
      int index, const std::string &method, const std::string &path,
      pollenring::HttpHeaders headers, const std::string &host = "a.example");

  /*! @brief Performs one among others. @param done Given the answer, or status
   * 0 when there is none. */
  void BeginCall(int index, const std::string &path,
                 pollenring::HttpHeaders headers,
                 std::function<void(pollenring::HttpResponse)> done);

  /*! @brief Sends a call to the node beside a target, as another node does.
   * @param version Form of the call. @return Its reply, or nothing when none
   * came in that form. */
  [[nodiscard]] std::optional<pollenring::CallReply> CallNode(
      int index, const pollenring::CallEnvelope &envelope,
      pollenring::WireVersion version = pollenring::kNewestWire);

  /*! @brief Status of a node's ready address. */
  [[nodiscard]] int Ready(int index);

  /*! @brief What a node's operator port answers. @param path Its path. */
  [[nodiscard]] std::string Operate(int index, const std::string &path);

  [[nodiscard]] bool Await(const std::function<bool()> &condition,
                           pollenring::Duration limit);
  void Run(pollenring::Duration length);

  /*! @brief Address of one of a node's ports. */
  [[nodiscard]] pollenring::Address At(int index, int port) const;

  [[nodiscard]] StoreStandIn &Store() { return *this->store; }
  [[nodiscard]] pollenring::MeshNode &Node(int index) {
    return *this->nodes.at(static_cast<std::size_t>(index - 1))->node;
  }

 private:
  static constexpr const char *kSecret = "secret-of-the-mesh-world";

  struct Member {
    pollenring::Settings settings;
    std::unique_ptr<pollenring::HttpClient> client;
    std::unique_ptr<pollenring::StoreClient> store_client;
    std::unique_ptr<pollenring::platform::Store> store;
    std::unique_ptr<pollenring::MeshNode> node;
    std::unique_ptr<pollenring::HttpServer> target;
    std::string service;
    int sequence{};
  };

  [[nodiscard]] std::optional<pollenring::HttpResponse> Ask(
      const pollenring::Address &to, const pollenring::HttpRequest &request);

  int net;
  pollenring::Duration answer_delay{};
  pollenring::SystemClock clock;
  pollenring::Loop loop{clock};
  pollenring::SeededRandom random{11};
  pollenring::HttpClient client{loop, {std::size_t{1} << 20U}};
  pollenring::LinkClient link{loop, kSecret, std::size_t{1} << 20U};
  pollenring::platform::JsonPolicyCodec policies;
  FaultyCallers callers;
  FaultyTargets targets;
  pollenring::platform::HttpHeartbeatCodec heartbeats;
  std::unique_ptr<StoreStandIn> store;
  std::vector<std::unique_ptr<Member>> nodes;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_MESH_WORLD_H_
