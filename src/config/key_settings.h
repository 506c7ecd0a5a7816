#ifndef FIGHATCH_CONFIG_KEY_SETTINGS_H_
#define FIGHATCH_CONFIG_KEY_SETTINGS_H_

#include <string_view>
#include <vector>

#include "config/json_reader.h"
#include "fighatch/key_ring.h"

namespace fighatch::config {

/// Reads a list of key files, `[{"id": 1, "file": "..."}, ...]`, and appends them to `out`. At least one key is
/// required. The first one is active, that is, it seals new messages; all of them are accepted.
void ReadKeyFiles(ObjectReader& reader, std::string_view field, KeyKind kind, std::vector<KeyFile>* out);

}  // namespace fighatch::config

#endif  // FIGHATCH_CONFIG_KEY_SETTINGS_H_
