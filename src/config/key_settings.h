#ifndef FIGHATCH_CONFIG_KEY_SETTINGS_H_
#define FIGHATCH_CONFIG_KEY_SETTINGS_H_

#include <string_view>
#include <vector>

#include "config/json_reader.h"
#include "fighatch/key_ring.h"

namespace fighatch::config {

/// Reads a list of `{"id": 1, "file": "..."}`. The first key is the active one, all are accepted; at least one is
/// required.
void ReadKeyFiles(ObjectReader& reader, std::string_view field, KeyKind kind, std::vector<KeyFile>* out);

}  // namespace fighatch::config

#endif  // FIGHATCH_CONFIG_KEY_SETTINGS_H_
