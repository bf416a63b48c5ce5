#pragma once

#include "core/order_document.h"

namespace bramleystall {

class FleetView;

/**
 * Executes the open orders of operators of the kinds cancel_wave, restore and
 * move, and refuses orders that are impossible. Accepted waves and drains stay
 * open; WavePlan executes them.
 */
void
ProcessOrders(FleetView& aView, OrderDocument& aOrders);

}
