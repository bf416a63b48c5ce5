#pragma once

#include "cluster/fenced_writer.h"

namespace bramleystall {

/**
 * Writer without a lock condition and without the plan's revision: it replaces
 * whatever the documents hold at the moment of the write, and takes a lost
 * response for a failure.
 */
WriteOutcome
NaiveWrite(PlatformStore& aStore, const FencedWrite& aWrite);

}
