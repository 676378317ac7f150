#ifndef REVIEW_STANDINS_3_FLEET_H_
#define REVIEW_STANDINS_3_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace review {

/*! @brief Writes the record of a case; lines carry the time since the start. */
class Record {
 public:
  explicit Record(const std::string &path);

  void Line(const std::string &text);

  /*! @brief Milliseconds since the start. */
  [[nodiscard]] std::int64_t Now() const;

 private:
  std::chrono::steady_clock::time_point started;
  std::mutex mutex;
  std::ofstream out;
};

/*! @brief The platform's metadata store. */
class Store {
 public:
  Store(const Endpoint &at, Record &record);

  /*! @brief Writes the operator's configuration. */
  void PutConfig(const std::string &json);

  /*! @brief Answers each call with 503, as nothing was done. */
  void SetDown(bool down);

 private:
  struct Row {
    std::string value;
    std::uint64_t version{};
  };
  using Key = std::pair<std::string, std::string>;

  Message Handle(const Message &request);
  Message Write(const std::string &body);
  Message Rows(const std::map<std::string, std::string> &query, bool feed);

  Record &record;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<Key, Row> rows; /*!< By table and key; `part` is always empty. */
  std::uint64_t last_version{};
  std::atomic<bool> down{false};
};

/*! @brief Where the processes of one VM listen. */
struct Machine {
  std::string name;
  std::string ip;
  std::string zone;
  std::string service;

  [[nodiscard]] Endpoint Outbound() const { return {this->ip, 8548}; }
  [[nodiscard]] Endpoint Ready() const { return {this->ip, 8546}; }
  [[nodiscard]] Endpoint Control() const { return {this->ip, 8540}; }
  [[nodiscard]] Endpoint App() const { return {this->ip, 8547}; }
};

/*! @brief The project's daemon on one VM, started and ended as the platform
 * does it. */
class Daemon {
 public:
  /*! @brief Starts without a process.
   * @param memory_mb As in the settings of the sites. */
  Daemon(Machine machine, Endpoint store, std::string folder, int memory_mb,
         Record &record);
  ~Daemon();

  /*! @brief Starts a process. @param first_start Of the whole system. */
  void Start(bool first_start);

  /*! @brief Kills the process with SIGKILL and waits for its end. */
  void Kill();

  /*! @brief Anonymous resident memory in bytes; 0 without a process. */
  [[nodiscard]] std::size_t Resident() const;

  /*! @brief Waits for a 200 at the ready address. */
  bool WaitReady(Millis timeout) const;

  [[nodiscard]] const Machine &At() const { return this->machine; }

 private:
  Machine machine;
  Endpoint store;
  std::string folder;
  int memory_mb;
  Record &record;
  std::atomic<pid_t> pid{0};
};

/*! @brief A free /24 network of loopback addresses, as "127.a.b.". */
std::string FindFreeNet();

/*! @brief A new temporary folder. */
std::string MakeFolder();

/*! @brief Sends a heartbeat or a deregistration. @return The status. */
int Heartbeat(const Machine &to, const std::string &id, std::int64_t born,
              const std::string &state, std::uint64_t sequence, int slots);
int Deregister(const Machine &to, const std::string &id, std::int64_t born);

/*! @brief Unix time in milliseconds. */
std::int64_t UnixMs();

/*! @brief Sleeps. */
void Pause(int ms);

/*! @brief Prints the verdict and exits with 1 if the rule was broken, 0 if it
 * held, 2 if the case couldn't run. Threads of stand-ins still run. */
[[noreturn]] void Finish(const std::string &rule, int result);

/*! @brief Plays a case: its first argument is the record's path, `TROUBLE=0`
 * leaves the disruption out. */
int Run(int argc, char **argv,
        const std::function<void(const std::string &, bool)> &play);

}  // namespace review

#endif  // REVIEW_STANDINS_3_FLEET_H_
