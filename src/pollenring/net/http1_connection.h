#ifndef POLLENRING_NET_HTTP1_CONNECTION_H_
#define POLLENRING_NET_HTTP1_CONNECTION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/net/http1_exchange.h"
#include "pollenring/net/http_server.h"
#include "pollenring/net/request_parser.h"

struct st_h2o_socket_t;

namespace pollenring::internal {

class Http1Server;

/**
 * @brief An HTTP/1.x connection of a server.
 *
 * GET and HEAD requests without a body run side by side as long as all requests
 * ahead of them are of that kind. Any other request waits until the responses
 * ahead of it are written, and nothing behind it is read until then. Responses
 * are written in the order of the requests.
 *
 * The object stays valid until the end of the turn in which it is closed, so
 * that its own callbacks may close it.
 */
class Http1Connection {
 public:
  using List = std::list<std::unique_ptr<Http1Connection>>;

  /**
   * @brief Takes over an accepted socket and starts reading.
   * @param server The server.
   * @param sock The socket.
   */
  Http1Connection(Http1Server &server, st_h2o_socket_t *sock);
  Http1Connection(const Http1Connection &) = delete;
  Http1Connection &operator=(const Http1Connection &) = delete;
  ~Http1Connection() = default;

  /**
   * @brief Takes the response to a request that is running.
   * @param exchange The request.
   * @param response The response.
   */
  void Respond(Http1Exchange &exchange, HttpResponse response);

  /**
   * @brief Checks time-outs, hang-ups and whether reading may go on.
   * @param now Time.
   */
  void Sweep(Time now);

  /**
   * @brief Refuses the request that is being received and closes the connection
   * behind the response; without effect if nothing more is read.
   * @param status Status of the refusal; the request has not run.
   */
  void Refuse(int status);

  /*! @brief Refuses the request that is being received, to free its bytes, and
   * closes the connection behind the responses. */
  void EvictReceiving();

  /*! @brief Aborts the connection, so that no response appears complete. */
  void Reset();

  /**
   * @brief Closes the connection at once and cancels its requests.
   * @param disconnect Kind of the disconnect that is reported.
   */
  void Close(CallerDisconnect disconnect);

  /*! @brief Closes the connection without notifying anyone. */
  void Abandon();

  /*! @brief Its number in the buffer budget; 0 without a budget. */
  [[nodiscard]] std::uint64_t BudgetId() const noexcept {
    return this->budget_id;
  }

  List::iterator place; /*!< In the server's list. */

 private:
  static void OnReadable(st_h2o_socket_t *sock, const char *error);
  static void OnWritten(st_h2o_socket_t *sock, const char *error);

  void Read(const char *error);
  void HandleWritten(const char *error);
  void HandleEnd();
  void Consume(std::string_view received);
  std::size_t Parse(std::string_view input);
  void TakeRequest();
  void Dispatch(const std::shared_ptr<Http1Exchange> &exchange);
  void Continue();
  void Flush();
  void FlushContinue();
  void Finish();
  void HandOver(std::string_view received);
  void EndHungUp();
  void SetResponse(Http1Exchange &exchange, HttpResponse response);
  void DropWaiting();
  /*! @brief Frees what has been received of an incomplete request. */
  void DropInput();
  [[nodiscard]] std::vector<Responder::Cancelled> Detach();

  [[nodiscard]] bool MayParse() const noexcept;
  /*! @brief Whether a part of a request has been received. */
  [[nodiscard]] bool IsArriving() const noexcept;
  /*! @brief Whether a complete request is not handled yet. */
  [[nodiscard]] bool HasWaiting() const noexcept;
  [[nodiscard]] bool ClosesAfter(const Http1Exchange &exchange);
  [[nodiscard]] bool IsHungUp();
  void CheckTimeouts(Time now);
  /*! @brief Follows a change: reads on or stops, reports buffered bytes. */
  void Update();
  void ReportBuffers();

  Http1Server &server;
  st_h2o_socket_t *sock; /*!< Null once closed or handed over. */
  RequestParser parser;
  std::string pending; /*!< Received and not parsed. */
  std::size_t unparsed{};
  std::deque<std::shared_ptr<Http1Exchange>> queue;
  std::size_t request_bytes{};  /*!< Of handled requests without a response. */
  std::size_t waiting_bytes{};  /*!< Of the waiting request. */
  std::size_t response_bytes{}; /*!< Not yet written. */
  std::uint64_t budget_id{};
  std::array<std::size_t, 3> reported{};
  Time last_read{};
  Time active_at{};  /*!< Last byte or response. */
  Time head_since{}; /*!< First byte of the request that is arriving. */
  Time linger_until{};
  bool reading{};
  bool writing{};
  bool parsing{};
  bool spoken{};  /*!< The first bytes were not those of HTTP/2. */
  bool closing{}; /*!< No further request is read. */
  bool peer_ended{};
  bool lingering{};
  bool dropped_input{};
  bool reported_arriving{};
  bool continue_sent{};
  bool hang_up_checked{}; /*!< Since the last read. */
};

}  // namespace pollenring::internal

#endif  // POLLENRING_NET_HTTP1_CONNECTION_H_
