#include "cli/command_context.h"
#include "cli/commands.h"
#include "cli/order_sender.h"

namespace bramleystall {

ExitCode
RunRestore(CommandContext& aContext)
{
  Order order;
  order.m_kind = OrderKind::Restore;
  order.m_vm = aContext.Arguments()[0];
  return SendOrder(aContext, order);
}

}
