#ifndef POLLENRING_NODE_SETTINGS_H_
#define POLLENRING_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "pollenring/admission/cold_start_limiter.h"
#include "pollenring/contract/parse.h"
#include "pollenring/core/clock.h"
#include "pollenring/core/diagnostic.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/net/address.h"

namespace pollenring {

/*! @brief How a node matches requests to routes. */
enum class RouteForm {
  kServicePath, /*!< By `/service/path`, from contracts. */
  kHost         /*!< By host and path prefix, from the operator's document. */
};

/*! @brief Names of the forms, as settings spell them. */
inline constexpr EnumTable<RouteForm, 2> kRouteFormNames{{{
    {RouteForm::kServicePath, "service-path"},
    {RouteForm::kHost, "host"},
}}};

/*! @brief Memory that a node may use. */
struct MemoryLimits {
  std::uint64_t memory_mb{}; /*!< Of its VM; 0 to detect it. */
  double buffer_share{0.55}; /*!< Part of it for bodies and buffers. */
};

/*! @brief Parts that a deployment asks for; host routes only. */
struct Features {
  /*! @brief Learn what a target takes from its reports of load, and place work
   * by it. */
  bool learned_capacity{};
  /*! @brief Refuse roots that would fail inside, and retry whole ones first. */
  bool whole_requests{};
};

/*! @brief Settings of one node. */
struct Settings {
  static constexpr Duration kDefaultGrace = std::chrono::seconds{6};

  RouteForm routes{RouteForm::kServicePath};
  std::string zone;
  std::string region;
  Address callers;   /*!< Where callers connect. */
  Address targets;   /*!< Where the local target connects. */
  Address nodes;     /*!< Where other nodes connect, TCP and UDP. */
  Address operators; /*!< Where operators and scrapers connect. */
  std::string node_secret;
  std::string operator_secret;
  std::string target_secret;
  Address platform;
  std::vector<Address> seeds;
  std::uint32_t slots{64};    /*!< Lease slots; the same on every node. */
  Address ready;              /*!< Readiness endpoint; host routes only. */
  std::string target_service; /*!< Of the local target; host routes only. */
  ColdStartHeadroom
      cold_start_headroom;       /*!< Of the local target; host routes only. */
  Duration grace{kDefaultGrace}; /*!< SIGTERM to SIGKILL; host routes only. */
  MemoryLimits limits;
  Features features;
  bool first_start{}; /*!< The whole system starts for the first time. */
};

/**
 * @brief Reads a settings file.
 * @param file The file.
 * @param diagnostics Receives all errors.
 * @return The settings; valid only if there are no diagnostics.
 */
[[nodiscard]] Settings ReadSettings(const SourceFile &file,
                                    Diagnostics &diagnostics);

}  // namespace pollenring

#endif  // POLLENRING_NODE_SETTINGS_H_
