#pragma once

#include "cli/exit_code.h"

namespace bramleystall {

class CommandContext;

// Each command has its own source file. All throw Error, whose code determines
// the exit code.

/** `validate DIR`: checks a configuration folder. */
ExitCode
RunValidate(CommandContext& aContext);

/** `publish DIR`: publishes a folder as the accepted configuration. */
ExitCode
RunPublish(CommandContext& aContext);

/** `status`: shows the daemons, pools and orders. */
ExitCode
RunStatus(CommandContext& aContext);

/** `explain KIND NAME`: shows why an object is in its state. */
ExitCode
RunExplain(CommandContext& aContext);

/** `drain VM`: takes a VM out of service for maintenance. */
ExitCode
RunDrain(CommandContext& aContext);

/** `move VM POOL`: moves a VM to another pool. */
ExitCode
RunMove(CommandContext& aContext);

/** `wave [POOL]`: maintains every VM of a pool, or of all pools. */
ExitCode
RunWave(CommandContext& aContext);

/** `wave cancel ID`: stops a wave. */
ExitCode
RunWaveCancel(CommandContext& aContext);

/** `restore VM`: returns a VM that was set aside to service. */
ExitCode
RunRestore(CommandContext& aContext);

/** `config history`: lists the accepted versions. */
ExitCode
RunConfigHistory(CommandContext& aContext);

}
