#pragma once

#include "cli/command_context.h"
#include "core/order_document.h"

namespace bramleystall {

/**
 * Sets the id, the operator and the creation time of an order, and sends it to
 * one daemon after the other until one accepts it. Daemons recognise a repeated
 * order by its id. Throws Error: InvalidInput, NotFound, Conflict, Unavailable
 * (no daemon wrote it), OutcomeUnknown.
 */
ExitCode
SendOrder(CommandContext& aContext, Order aOrder);

}
