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

/*! @brief A fake of the users' store that implements its HTTP protocol. */
class FakeStore {
 public:
  FakeStore(pollenring::Loop &loop, const pollenring::Address &address);

  /*! @brief Writes the operator's configuration document. */
  void PutConfig(const std::string &json);

  /*! @brief Writes a row of pollenring's own table. */
  void Put(const std::string &key, const std::string &value);

  /*! @return True if a key of pollenring's own table has the prefix. */
  [[nodiscard]] bool Has(const std::string &prefix) const;

  /*! @brief Withdraws or restores a zone. */
  void Withdraw(const std::string &zone, bool withdrawn);

  /*! @param down True to respond to all calls with 503. */
  void SetDown(bool down) { this->down = down; }

  /*! @brief Handles each call late by this time. */
  void SetDelay(pollenring::Duration given) { this->delay = given; }

  /*! @brief Responds to all calls with this text, or normally without one. */
  void SetFixedResponse(std::optional<std::string> text) {
    this->fixed_response = std::move(text);
  }

  /*! @param unresponsive True to leave watches without a response. */
  void SetWatchesUnresponsive(bool unresponsive) {
    this->watches_unresponsive = unresponsive;
  }

  /*! @brief Keeps a copy of all rows, for `ReturnFromCopy`. */
  void TakeCopy();

  /*! @brief Returns from the copy: rows and versions go back, the era rises,
   * and what the operator wrote since is written again. Calls that are held
   * stay so. */
  void ReturnFromCopy();

  /*! @brief Compacts the history up to the current version. */
  void CompactHistory() { this->oldest = this->version; }

 private:
  struct StoredRow {
    std::uint64_t version{};
    std::string value; /*!< Base64, as received. */
    bool deleted{};
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
  void Serve(const pollenring::HttpRequest &request,
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

  /*! @brief Sends a response with the store's era. */
  void Send(pollenring::Responder &responder, int status,
            std::string body) const;

  std::map<Key, StoredRow> rows;
  std::map<Key, StoredRow> copy;
  std::uint64_t copy_version{};
  std::vector<Watch> watches;
  std::uint64_t version{1};
  std::uint64_t era{1};
  std::uint64_t oldest{};
  bool down{};
  bool watches_unresponsive{};
  pollenring::Duration delay{};
  std::optional<std::string> fixed_response;
  pollenring::Loop &loop;
  pollenring::HttpServer server;
};

/*! @brief Nodes, targets and a store on loopback, in the test's process. */
class MeshWorld {
 public:
  using Endpoint =
      std::function<pollenring::HttpResponse(const pollenring::HttpRequest &)>;

  /*! @brief Starts the store. @param net Third octet of the addresses. */
  explicit MeshWorld(int net);

  /*! @brief Starts a node and its target. @param seeds Numbers of its seed
   * nodes. @return Its number, from 1. */
  int Start(const std::string &service, Endpoint endpoint,
            const std::string &region = "r",
            const std::vector<int> &seeds = {});

  /*! @brief Sets the response time of all targets. */
  void SetResponseDelay(pollenring::Duration delay) {
    this->response_delay = delay;
  }

  /*! @brief Sets the grace period of the nodes that are started next. */
  void SetGrace(pollenring::Duration given) { this->grace = given; }

  /*! @brief Sends a heartbeat of a node's target.
   * @param cold_left Remaining cold start. @param started_at_ms Start time.
   * @return HTTP status, or 0 without a response. */
  int Beat(int index, const std::string &state = "ready",
           std::chrono::milliseconds cold_left = {}, int started_at_ms = 5);

  /*! @brief Deregisters a node's target without a preceding draining heartbeat.
   * @return HTTP status, or 0 without a response. */
  int Deregister(int index);

  /*! @brief Lets a node's target announce itself as another instance. */
  void RenewInstance(int index);

  /*! @brief Closes the port of a node's target; connections are then refused.
   */
  void StopTarget(int index);

  /*! @brief Sends a request to a node's caller port and waits for the response.
   * @return The response, with status 0 if there was none. */
  [[nodiscard]] pollenring::HttpResponse Call(
      int index, const std::string &method, const std::string &path,
      pollenring::HttpHeaders headers, const std::string &host = "a.example");

  /*! @brief Sends a request without waiting. @param done Receives the response,
   * with status 0 if there was none. */
  void BeginCall(int index, const std::string &path,
                 pollenring::HttpHeaders headers,
                 std::function<void(pollenring::HttpResponse)> done);

  /*! @brief Sends a call to a target's node, as another node does.
   * @param version Wire version. @return The reply, or nothing if none came in
   * that version. */
  [[nodiscard]] std::optional<pollenring::CallReply> CallNode(
      int index, const pollenring::CallEnvelope &envelope,
      pollenring::WireVersion version = pollenring::kNewestWire);

  /*! @return HTTP status of a node's readiness port. */
  [[nodiscard]] int Ready(int index);

  /*! @return Response body of a node's operator port. */
  [[nodiscard]] std::string GetOperatorPage(int index, const std::string &path);

  /*! @return HTTP status of a command to a node's operator port. */
  [[nodiscard]] int PostToOperator(int index, const std::string &path);

  [[nodiscard]] bool Await(const std::function<bool()> &condition,
                           pollenring::Duration limit);
  void Run(pollenring::Duration length);

  /*! @brief Address of one of a node's ports. */
  [[nodiscard]] pollenring::Address At(int index, int port) const;

  [[nodiscard]] pollenring::Loop &GetLoop() { return this->loop; }
  [[nodiscard]] FakeStore &Store() { return *this->store; }
  [[nodiscard]] pollenring::MeshNode &Node(int index) {
    return *this->nodes.at(static_cast<std::size_t>(index - 1))->node;
  }

 private:
  static constexpr const char *kSecret = "secret-of-the-mesh-world";

  struct Member {
    pollenring::Settings settings;
    std::unique_ptr<pollenring::HttpClient> client;
    pollenring::StoreTimeout store_timeout;
    std::unique_ptr<pollenring::StoreClient> store_client;
    std::unique_ptr<pollenring::platform::Store> store;
    std::unique_ptr<pollenring::MeshNode> node;
    std::unique_ptr<pollenring::HttpServer> target;
    std::string service;
    int sequence{};
    int renewals{};

    [[nodiscard]] std::string Instance(int index) const {
      std::string instance = "i-" + std::to_string(index);
      if (this->renewals > 0) instance += "." + std::to_string(this->renewals);
      return instance;
    }
  };

  [[nodiscard]] std::optional<pollenring::HttpResponse> Request(
      const pollenring::Address &to, const pollenring::HttpRequest &request);

  int net;
  pollenring::Duration grace{pollenring::Settings::kDefaultGrace};
  pollenring::Duration response_delay{};
  pollenring::SystemClock clock;
  pollenring::Loop loop{clock};
  pollenring::SeededRandom random{11};
  pollenring::HttpClient client{loop, {std::size_t{1} << 20U}};
  pollenring::LinkClient link{loop, kSecret, std::size_t{1} << 20U};
  pollenring::platform::JsonPolicyCodec policies;
  FaultyCallerCodec callers;
  FaultyTargetCodec targets;
  pollenring::platform::HttpHeartbeatCodec heartbeats;
  std::unique_ptr<FakeStore> store;
  std::vector<std::unique_ptr<Member>> nodes;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_MESH_WORLD_H_
