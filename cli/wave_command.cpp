#include "cli/command_context.h"
#include "cli/commands.h"
#include "cli/order_sender.h"

namespace bramleystall {

ExitCode
RunWave(CommandContext& aContext)
{
  Order order;
  order.m_kind = OrderKind::Wave;
  if (!aContext.Arguments().empty()) {
    order.m_pool = aContext.Arguments()[0];
  }
  return SendOrder(aContext, order);
}

}
