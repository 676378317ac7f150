#ifndef POLLENRING_TOOLS_STANDIN_PLATFORM_H_
#define POLLENRING_TOOLS_STANDIN_PLATFORM_H_

#include <memory>

#include "pollenring/net/http_server.h"
#include "pollenring/net/loop.h"
#include "pollenring/storage/memory_storage.h"

namespace standin {

/*! @brief In-memory platform over HTTP with injectable faults. */
class Platform {
 public:
  /**
   * @brief Constructs an empty platform.
   * @param loop Event loop.
   */
  explicit Platform(pollenring::Loop &loop) : loop{loop} {}

  /**
   * @brief Handles one request.
   * @param request The request.
   * @param responder Receives the response.
   */
  void Handle(const pollenring::HttpRequest &request,
              std::shared_ptr<pollenring::Responder> responder);

 private:
  void Control(const std::string &body);
  [[nodiscard]] pollenring::HttpResponse Perform(
      const pollenring::HttpRequest &request);
  [[nodiscard]] pollenring::HttpResponse Write(const std::string &body);
  [[nodiscard]] pollenring::HttpResponse Read(
      const pollenring::HttpRequest &request);
  [[nodiscard]] pollenring::HttpResponse Object(
      const pollenring::HttpRequest &request);

  pollenring::Loop &loop;
  pollenring::MemoryTable table;
  pollenring::MemoryObjectStore objects;
  pollenring::Duration delay{};
  bool down{};
  bool drop_responses{};
};

}  // namespace standin

#endif  // POLLENRING_TOOLS_STANDIN_PLATFORM_H_
