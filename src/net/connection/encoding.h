// Encodings of bytes as text.
#pragma once

#include <optional>
#include <string>

namespace camphorwell {

std::string encodeBase64(const std::string& bytes);
// Nothing for text that is not base64 with padding.
std::optional<std::string> decodeBase64(const std::string& text);
// Encodes text as the value of a parameter of a URL.
std::string encodeQueryValue(const std::string& text);

} // namespace camphorwell
