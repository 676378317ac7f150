#ifndef POLLENRING_LINK_LINK_ERROR_H_
#define POLLENRING_LINK_LINK_ERROR_H_

#include "pollenring/core/enum_table.h"

namespace pollenring {

/*! @brief Why a message to another node got no reply. */
enum class LinkError {
  kNotSent,  /*!< The peer has not seen the message. */
  kLost,     /*!< The peer may have seen the message. */
  kTimedOut, /*!< The peer may have seen the message; no reply in time. */
};

/*! @brief Names of link errors. */
inline constexpr EnumTable<LinkError, 3> kLinkErrorNames{{{
    {LinkError::kNotSent, "not sent"},
    {LinkError::kLost, "lost"},
    {LinkError::kTimedOut, "timed out"},
}}};

}  // namespace pollenring

#endif  // POLLENRING_LINK_LINK_ERROR_H_
