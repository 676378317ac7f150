#ifndef POLLENRING_REVIEW_STANDINS_2_HARNESS_H_
#define POLLENRING_REVIEW_STANDINS_2_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/*! @brief Exit codes of a case, as the issue of the review states them. */
inline constexpr int kExitHeld = 0;
inline constexpr int kExitBroken = 1;
inline constexpr int kExitCannotRun = 2;

/*! @brief Milliseconds since the start of the process, steady clock. */
[[nodiscard]] double NowMs();

/*! @brief Milliseconds since the Unix epoch. */
[[nodiscard]] std::int64_t WallMs();

void SleepMs(double ms);

/*! @brief Writes what was sent, answered and run to a file, with the time. */
class Record {
 public:
  explicit Record(const std::string &path);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  void Line(const std::string &text);

 private:
  std::mutex mutex;
  std::FILE *file;
};

/*! @brief An IPv4 loopback address and a port. */
struct Endpoint4 {
  std::string ip;
  std::uint16_t port{};

  [[nodiscard]] std::string Text() const {
    return this->ip + ":" + std::to_string(this->port);
  }
};

/*! @brief A loopback address of this run for machine `index`. */
[[nodiscard]] std::string MachineIp(int index);

/*! @brief A port of an address that is free now. */
[[nodiscard]] std::uint16_t FreePort(const std::string &ip);

/*! @brief Listens. @return The descriptor; ends the process with 2 if the
 * address is taken. */
[[nodiscard]] int Listen(const Endpoint4 &at);

/*! @brief Connects. @param receive_buffer 0 for the default size.
 * @return The descriptor, or -1. */
[[nodiscard]] int Connect(const Endpoint4 &to, int receive_buffer = 0);

[[nodiscard]] bool SendAll(int fd, std::string_view bytes);

using Headers = std::vector<std::pair<std::string, std::string>>;

/*! @brief A message of HTTP/1.1; header names are in lower case. */
struct Message {
  std::string start_line;
  Headers headers;
  std::string body;

  [[nodiscard]] std::string Header(std::string_view name) const;
  [[nodiscard]] int Status() const;
  [[nodiscard]] std::string Method() const;
  [[nodiscard]] std::string Path() const;
};

/*! @brief Reads messages from one connection. */
class Reader {
 public:
  explicit Reader(int fd) : fd{fd} {}

  /**
   * @brief Reads one message with a length or in chunks.
   * @param deadline_ms Time of `NowMs` at which to give up.
   * @param bytes_per_s Pace at which the body is read; 0 for no limit.
   * @return The message; nothing at the end of the connection, at a time-out
   * or if the message is cut. `Cut` and `Received` tell more.
   */
  [[nodiscard]] std::optional<Message> Read(double deadline_ms,
                                            double bytes_per_s = 0);

  /*! @brief Whether the last message began and did not end. */
  [[nodiscard]] bool Cut() const noexcept { return this->cut; }

  /*! @brief Whether the peer has ended the connection. */
  [[nodiscard]] bool Ended() const noexcept { return this->ended; }

  /*! @brief Body bytes of the last message that were received. */
  [[nodiscard]] std::size_t Received() const noexcept { return this->received; }

  /*! @brief Body bytes that the last message announced. */
  [[nodiscard]] std::size_t Announced() const noexcept {
    return this->announced;
  }

 private:
  [[nodiscard]] bool Fill(double deadline_ms, std::size_t most);

  int fd;
  std::string buffer;
  bool cut{};
  bool ended{};
  std::size_t received{};
  std::size_t announced{};
};

/*! @brief Serves connections, each on a thread of its own. */
class Server {
 public:
  using Handler = std::function<void(int fd)>;

  Server(const Endpoint4 &at, Handler handler);

 private:
  int listener;
  Handler handler;
};

/*! @brief The platform's metadata store: the row calls of the protocol page. */
class Store {
 public:
  Store(const Endpoint4 &at, Record &record);

  /*! @brief Writes a row as the operator does. */
  void Put(const std::string &table, const std::string &key,
           const std::string &value);

  /*! @brief While set, calls of the system get 503: nothing is done. */
  std::atomic<bool> busy{false};

 private:
  struct Row {
    std::string value;
    std::uint64_t version{};
    bool deleted{};
  };
  using RowKey = std::pair<std::string, std::string>; /*!< Part and key. */

  void Serve(int fd);
  [[nodiscard]] std::string Handle(const Message &request, int &status);
  [[nodiscard]] std::string Get(
      const std::map<std::string, std::string> &query);
  [[nodiscard]] std::string Feed(
      const std::map<std::string, std::string> &query);
  [[nodiscard]] std::string Transact(const std::string &body, int &status);

  Record &record;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<RowKey, Row>> tables;
  std::uint64_t version{500};
  std::unique_ptr<Server> server;
};

/*! @brief An application endpoint with its heartbeats. */
class AppEndpoint {
 public:
  struct Options {
    std::string service;
    std::string zone;
    std::string instance;
    int slots{8};
    Endpoint4 address;
    Endpoint4 control; /*!< Where the node next to it takes heartbeats. */
  };
  /*! @brief Answers one request. @return False to close the connection. */
  using Work = std::function<bool(int fd, const Message &request)>;

  AppEndpoint(Options options, Record &record, Work work);

  /*! @brief Stops the regular heartbeats. */
  void StopBeats() { this->beats = false; }
  /*! @brief Sends a heartbeat; a late one bears an older sequence.
   * @return Whether it was acknowledged. */
  bool SendBeat(int sequence);
  /*! @brief Deregisters it. @return Whether that was acknowledged. */
  bool Deregister();
  /*! @brief Sequence of the last regular heartbeat. */
  [[nodiscard]] int LastSequence() const noexcept { return this->sequence; }

  /*! @brief A complete answer with what the protocol asks for. */
  [[nodiscard]] std::string Answer(const Message &request, int status,
                                   const std::string &body) const;

  /*! @brief How often a request arrived. */
  [[nodiscard]] int Arrivals(const std::string &id);
  [[nodiscard]] int Acknowledged() const noexcept { return this->acknowledged; }
  [[nodiscard]] const Options &Settings() const noexcept {
    return this->options;
  }

 private:
  void Beat();
  void Serve(int fd);
  [[nodiscard]] bool Post(const std::string &path, const std::string &body);

  Options options;
  Record &record;
  Work work;
  std::int64_t born;
  std::atomic<bool> beats{true};
  std::atomic<int> sequence{0};
  std::atomic<int> acknowledged{0};
  std::mutex mutex;
  std::map<std::string, int> arrivals;
  std::unique_ptr<Server> server;
};

/*! @brief One pollenringd, started with the command of the deploy file. */
class Daemon {
 public:
  struct Options {
    int machine{};
    std::string zone;
    std::string service;
    std::string folder; /*!< For its settings and its log. */
    Endpoint4 store;
    int memory_mb{260};
    bool first_start{true};
  };

  explicit Daemon(Options options);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /*! @brief Starts it; all but the first start are no first start of the
   * whole system. */
  void Start();
  void Signal(int number) const;
  /*! @brief Waits for its end. @return Whether it ended in time. */
  bool WaitForEnd(double ms);
  /*! @brief Whether it runs. */
  [[nodiscard]] bool Running();
  /*! @brief Resident memory in MiB, as the kernel counts it; 0 if it ended. */
  [[nodiscard]] double ResidentMb() const;
  /*! @brief Highest `ResidentMb` since the start of the process. */
  [[nodiscard]] double PeakMb() const;
  /*! @brief Whether its readiness check gives 200. */
  [[nodiscard]] bool Ready() const;

  [[nodiscard]] Endpoint4 Outbound() const;
  [[nodiscard]] Endpoint4 Control() const;
  [[nodiscard]] Endpoint4 ReadyAddress() const;
  [[nodiscard]] Endpoint4 App() const;

 private:
  [[nodiscard]] double StatusMb(std::string_view field) const;

  Options options;
  std::string ip;
  std::uint16_t port; /*!< First of its six ports, free at the start. */
  std::atomic<pid_t> pid{-1};
};

/*! @brief Waits until a condition holds. @return Whether it did. */
[[nodiscard]] bool WaitUntil(double ms, const std::function<bool()> &holds);

/*! @brief A request as clients of the pages send it. */
[[nodiscard]] std::string RequestText(const std::string &method,
                                      const std::string &host,
                                      const std::string &path,
                                      const std::string &id, int deadline_ms,
                                      const std::string &body = {});

/*! @brief Ends all daemons that still run and exits, without destructors. */
[[noreturn]] void Exit(int code);

/*! @brief Whether `Exit` has begun. */
[[nodiscard]] bool Ending();

/*! @brief A new folder below the system's temporary one. */
[[nodiscard]] std::string TemporaryFolder();

/*! @brief Whether the run is one with the disruption. */
[[nodiscard]] bool Trouble();

}  // namespace review

#endif  // POLLENRING_REVIEW_STANDINS_2_HARNESS_H_
