#include "cli/command_context.h"
#include "cli/commands.h"
#include "cli/order_sender.h"

namespace bramleystall {

ExitCode
RunWaveCancel(CommandContext& aContext)
{
  Order order;
  order.m_kind = OrderKind::CancelWave;
  order.m_wave = aContext.Arguments()[0];
  return SendOrder(aContext, order);
}

}
