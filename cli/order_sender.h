#pragma once

#include "cli/command_context.h"
#include "core/order_document.h"

namespace bramleystall {

/**
 * Gives an order an id, the operator and the time, and sends it to one daemon
 * after the other until one accepts it. The id makes repeated sending safe.
 * Throws Error: InvalidInput, Conflict, Unavailable (no daemon received it),
 * OutcomeUnknown.
 */
ExitCode
SendOrder(CommandContext& aContext, Order aOrder);

}
