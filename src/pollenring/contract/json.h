#ifndef POLLENRING_CONTRACT_JSON_H_
#define POLLENRING_CONTRACT_JSON_H_

#include <map>
#include <string>

#include "pollenring/contract/contract.h"

namespace pollenring {

/*! @brief The documents of a configuration, by name. */
using Documents = std::map<std::string, std::string>;

/*! @brief Prefixes of document names, by kind. */
inline constexpr const char *kContractPrefix = "contract/";
inline constexpr const char *kWorkspacePrefix = "workspace/";
inline constexpr const char *kKeyPrefix = "key/";

/**
 * @brief Turns a checked set into configuration documents.
 * @param set The set.
 * @return One document per service and per workspace.
 */
[[nodiscard]] Documents ToDocuments(const ContractSet &set);

/**
 * @brief Reads a contract document.
 * @param text The document.
 * @return The contract.
 * @throws nlohmann::json::exception when the document is of another form.
 */
[[nodiscard]] Contract ContractFromJson(const std::string &text);

/**
 * @brief Reads a workspace document.
 * @param text The document.
 * @return The share.
 * @throws nlohmann::json::exception when the document is of another form.
 */
[[nodiscard]] WorkspaceRateLimit WorkspaceFromJson(const std::string &text);

}  // namespace pollenring

#endif  // POLLENRING_CONTRACT_JSON_H_
