// Limits on how long calls and orders of promotions may take.

#ifndef SOURCE_GATEWAY_PROMOTION_LIMITS_H_
#define SOURCE_GATEWAY_PROMOTION_LIMITS_H_

#include "absl/time/time.h"

namespace heatherwick {

inline constexpr absl::Duration kStoreCallTimeout = absl::Milliseconds(700);
inline constexpr absl::Duration kProbeTimeout = absl::Milliseconds(300);
inline constexpr absl::Duration kPromoteCallTimeout = absl::Milliseconds(800);
// A promotion takes about a second. If it takes longer than this, the order is
// considered lost. Only the choice of another target depends on this; see
// PendingOrders.
inline constexpr absl::Duration kPromotionTimeout = absl::Milliseconds(3000);
// How long an order may take effect after it was sent, and after its record in
// the leader row was first read. Shorter than the time after which a change is
// taken over, so that a holder that waits for orders to end is not.
inline const absl::Duration kOrderLifetime =
    kPromoteCallTimeout + kPromotionTimeout;
inline const absl::Duration kRecordedOrderLifetime =
    kStoreCallTimeout + kOrderLifetime;

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_PROMOTION_LIMITS_H_
