#ifndef POLLENRING_CONTRACT_POLICY_H_
#define POLLENRING_CONTRACT_POLICY_H_

#include <string>
#include <string_view>
#include <unordered_map>

#include "pollenring/contract/contract.h"
#include "pollenring/contract/json.h"

namespace pollenring {

/*! @brief A configuration indexed for look-ups by request. */
class Policy {
 public:
  /*! @brief Creates an empty policy without services, workspaces or keys. */
  Policy() = default;

  /**
   * @brief Adds, replaces or removes the declarations of one document.
   * @param name The document's name.
   * @param text Its text; empty removes it.
   */
  void Apply(const std::string &name, const std::string &text);

  /**
   * @brief Finds a service's contract.
   * @param service The service.
   * @return The contract, or null.
   */
  [[nodiscard]] const Contract *Find(const std::string &service) const;

  /**
   * @brief Finds the route with the longest matching prefix.
   * @param contract The service's contract.
   * @param method The method.
   * @param path The path within the service.
   * @return The route, or null.
   */
  [[nodiscard]] static const Route *Match(const Contract &contract,
                                          std::string_view method,
                                          std::string_view path);

  /**
   * @brief Checks whether a caller may call a service.
   * @param contract The service's contract.
   * @param caller Name of the calling service, or `kPublicCaller`.
   * @return True if the contract lists the caller.
   */
  [[nodiscard]] static bool Allows(const Contract &contract,
                                   std::string_view caller);

  /**
   * @brief Finds the workspace that holds a key.
   * @param digest SHA-256 of the key, in hexadecimal.
   * @return The workspace's name, or an empty string.
   */
  [[nodiscard]] std::string WorkspaceOf(const std::string &digest) const;

  /**
   * @brief Finds a workspace's rate and burst.
   * @param workspace The workspace.
   * @return The rate limit, or null.
   */
  [[nodiscard]] const WorkspaceRateLimit *RateLimitOf(
      const std::string &workspace) const;

  /*! @brief All workspaces. @return Rate limits by name. */
  [[nodiscard]] const std::unordered_map<std::string, WorkspaceRateLimit>
      &Workspaces() const noexcept {
    return this->workspaces;
  }

 private:
  std::unordered_map<std::string, Contract> contracts;
  std::unordered_map<std::string, WorkspaceRateLimit> workspaces;
  std::unordered_map<std::string, std::string> keys;
};

}  // namespace pollenring

#endif  // POLLENRING_CONTRACT_POLICY_H_
