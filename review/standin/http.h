#ifndef REVIEW_STANDIN_HTTP_H_
#define REVIEW_STANDIN_HTTP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace review {

/*! @brief An IPv4 address and a port. */
struct Endpoint {
  std::string ip;
  int port{};
};

/*! @brief Parses `ip:port`; ends the process if the text is malformed. */
Endpoint ParseEndpoint(const std::string &text);

/*! @brief Milliseconds of the steady clock since the start of the system. */
std::int64_t NowMs();

/*! @brief Milliseconds since the Unix epoch. */
std::int64_t UnixMs();

void SleepMs(std::int64_t ms);

/*! @brief Appends lines to a file that several processes share. */
class Record {
 public:
  /*! @brief Opens the file. @param path Its path; no record if empty. */
  explicit Record(const std::string &path);
  /*! @brief Appends one line, with a time stamp. */
  void Line(const std::string &text) const;

 private:
  int fd{-1};
};

/*! @brief A message as received; header names in lower case. */
struct Message {
  std::string first;
  std::multimap<std::string, std::string> headers;
  std::string body;

  [[nodiscard]] std::string Header(const std::string &name) const;
};

/*! @brief Buffered reader of one connection. */
class Reader {
 public:
  explicit Reader(int fd) : fd{fd} {}
  /*! @brief Reads one message with a length or in chunks. @return Nothing if
   * the connection ended first. */
  std::optional<Message> Next();

 private:
  bool Fill();
  std::optional<std::string> Line();
  bool Take(std::size_t size, std::string &into);

  int fd;
  std::string buffer;
};

/*! @brief Listens; ends the process if the address is taken. */
int Listen(const Endpoint &at);

/*! @brief Connects. @param receive_buffer Size of the socket's receive buffer;
 * 0 for the default. @return The socket, or -1. */
int Connect(const Endpoint &to, int receive_buffer = 0);

/*! @brief Writes all bytes. @return False if the peer has closed. */
bool WriteAll(int fd, const std::string &bytes);

/*! @brief Formats a response with a length. */
std::string Response(int status, const std::vector<std::string> &headers,
                     const std::string &body);

/*! @brief Sends a request on a new connection and reads the response. */
std::optional<Message> Ask(const Endpoint &to, const std::string &request,
                           int timeout_ms);

}  // namespace review

#endif  // REVIEW_STANDIN_HTTP_H_
