#pragma once

#include "core/order_document.h"

namespace bramleystall {

class FleetView;

/**
 * Carries out the orders of operators that take effect at once (cancel_wave,
 * restore, move) and refuses those that are impossible. Waves and drains that
 * are accepted stay open for WavePlan.
 */
void
ProcessOrders(FleetView& aView, OrderDocument& aOrders);

}
