#include "cli/command_context.h"
#include "cli/commands.h"
#include "cli/order_sender.h"

namespace bramleystall {

ExitCode
RunMove(CommandContext& aContext)
{
  Order order;
  order.m_kind = OrderKind::Move;
  order.m_vm = aContext.Arguments()[0];
  order.m_pool = aContext.Arguments()[1];
  return SendOrder(aContext, order);
}

}
