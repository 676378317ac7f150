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
 * @brief Serializes a checked set as configuration documents.
 * @param set The set.
 * @return One document per service and per workspace.
 */
[[nodiscard]] Documents ToDocuments(const ContractSet &set);

/**
 * @brief Parses a contract document.
 * @param text The document.
 * @return The contract.
 * @throws nlohmann::json::exception if the document is malformed.
 */
[[nodiscard]] Contract ContractFromJson(const std::string &text);

/**
 * @brief Parses a workspace document.
 * @param text The document.
 * @return The rate limit.
 * @throws nlohmann::json::exception if the document is malformed.
 */
[[nodiscard]] WorkspaceRateLimit WorkspaceFromJson(const std::string &text);

}  // namespace pollenring

#endif  // POLLENRING_CONTRACT_JSON_H_
