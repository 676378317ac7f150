#ifndef REVIEW_STANDIN_CLIENTS_H_
#define REVIEW_STANDIN_CLIENTS_H_

#include <cstddef>
#include <string>

#include "http.h"

namespace review {

/*! @brief Polls the readiness of a node. @return 0 once it is ready, else 2. */
int AwaitReady(const Endpoint &ready, int within_ms);

/*! @brief Kills a process that exceeds its memory limit, as the platform does.
 * @return 0 once the process has ended. */
int EnforceMemory(int pid, int mb, const Record &record);

/*! @brief Downloads by clients that read at a steady rate. */
struct Downloads {
  Endpoint node;
  std::string host;
  std::string path;
  std::string key;
  std::string prefix; /*!< Of the attempt identifiers. */
  std::size_t bytes{};
  int count{1};
  int stagger_ms{};
  int deadline_ms{};
  int bytes_per_ms{}; /*!< 0: as fast as possible. */
  bool kept{};        /*!< Each connection has had an answer before. */
};

/**
 * @brief Runs downloads, one connection each.
 * @return 0 if all ended with a complete answer; 1 if a connection ended
 * without one although its endpoint had answered; 2 otherwise.
 */
int RunDownloads(const Downloads &downloads, const Record &record);

/*! @brief Requests with large bodies, by clients that read at once. */
struct Uploads {
  Endpoint node;
  std::string host;
  std::string path;
  std::string prefix; /*!< Of the attempt identifiers. */
  std::size_t bytes{};
  int count{1};
  int first{}; /*!< Sent before the pause. */
  int pause_ms{};
  int stagger_ms{};
  int deadline_ms{};
};

/**
 * @brief Runs uploads, each on a connection that has had an answer before.
 * @return 0 if all were answered; 1 if more than three connections ended
 * without an answer after their whole request was sent; 2 otherwise.
 */
int RunUploads(const Uploads &uploads, const Record &record);

/*! @brief Two requests in a row on one connection, sent at once. */
struct Pipelined {
  Endpoint node;
  std::string host;
  std::string path;
  std::string prefix; /*!< Of the attempt identifiers. */
  int count{1};       /*!< Of connections. */
  int deadline_ms{};
  int slack_ms{}; /*!< A close later than this loses a request. */
};

/**
 * @brief Sends pairs of requests and awaits their answers.
 * @return 0 if all were answered; 1 if a connection ended without an answer
 * later than the slack after the last byte was sent; 2 otherwise.
 */
int RunPipelined(const Pipelined &pipelined, const Record &record);

}  // namespace review

#endif  // REVIEW_STANDIN_CLIENTS_H_
