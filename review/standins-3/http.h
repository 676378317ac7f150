#ifndef REVIEW_STANDINS_3_HTTP_H_
#define REVIEW_STANDINS_3_HTTP_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review {

using Millis = std::chrono::milliseconds;

/*! @brief An HTTP/1.1 request or response; header names in lower case. */
struct Message {
  std::string method;
  std::string path;
  int status{};
  std::map<std::string, std::string> headers;
  std::string body;
};

/*! @brief An IPv4 address and a port. */
struct Endpoint {
  std::string ip;
  int port{};

  [[nodiscard]] std::string Format() const {
    return this->ip + ":" + std::to_string(this->port);
  }
};

/*! @brief A blocking TCP connection that reads HTTP messages. */
class Connection {
 public:
  explicit Connection(int fd) : fd{fd} {}
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection();

  /*! @brief Reads up to the blank line behind the head. @return False if the
   * connection ended or the time passed. */
  bool ReadHead(Message &message, Millis timeout);

  /*! @brief Reads the body that the head announces.
   * @param bytes_per_s How fast it reads; 0 for no limit. */
  bool ReadBody(Message &message, Millis timeout, std::size_t bytes_per_s = 0);

  /*! @brief Sends all bytes. @return False if the connection ended. */
  bool Write(const std::string &bytes);

 private:
  bool Fill(std::chrono::steady_clock::time_point until);

  int fd;
  std::string buffer;
};

/*! @brief Listens; each connection has a thread of its own. */
class Server {
 public:
  using Serve = std::function<void(Connection &)>;

  /*! @brief Binds and starts. @throws std::runtime_error if it can't bind. */
  Server(const Endpoint &at, Serve serve);

 private:
  Serve serve;
};

/*! @brief Answers each request with the handler's response, keep-alive. */
Server::Serve AnswerEach(std::function<Message(const Message &)> handler);

/*! @brief Serializes a request. */
std::string FormatRequest(const Message &request, const std::string &host);

/*! @brief Serializes a response. */
std::string FormatResponse(const Message &response);

/*! @brief Connects. @return Null if that fails. */
std::unique_ptr<Connection> Connect(const Endpoint &to);

/*! @brief Sends a request on a connection of its own. @return The response;
 * status 0 if there is none, -1 if no connection was made. */
Message Call(const Endpoint &to, const Message &request,
             const std::string &host, Millis timeout);

/*! @brief Whether an address can be bound. */
bool IsFree(const Endpoint &at);

}  // namespace review

#endif  // REVIEW_STANDINS_3_HTTP_H_
