#pragma once

#include "admission/published_load.h"

#include <nlohmann/json_fwd.hpp>

namespace bramleystall {

nlohmann::json
EncodePublishedLoad(const PublishedLoad& aLoad);

/** Decodes the result of EncodePublishedLoad. Throws nlohmann::json::exception
 * for any other value. */
PublishedLoad
DecodePublishedLoad(const nlohmann::json& aBody);

}
