#pragma once

#include "cluster/fenced_writer.h"

namespace bramleystall {

/**
 * Naive writer without a lock condition and without the plan's revision. It
 * overwrites the documents whatever their content is at the time of the write,
 * and reports a lost response as a conflict.
 */
WriteOutcome
NaiveWrite(PlatformStore& aStore, const FencedWrite& aWrite);

}
