// Encodings of bytes as text.
#pragma once

#include <optional>
#include <string>

namespace camphorwell {

std::string encodeBase64(const std::string& bytes);
// Nothing for text that is not base64 with padding.
std::optional<std::string> decodeBase64(const std::string& text);

} // namespace camphorwell
