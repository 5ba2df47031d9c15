// Encodings by OpenSSL and libevent.
#include "net/connection/encoding.h"

#include <cstdlib>
#include <event2/http.h>
#include <memory>
#include <openssl/evp.h>

namespace camphorwell {

std::string encodeBase64(const std::string& bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    out.resize(static_cast<size_t>(length));
    return out;
}

std::optional<std::string> decodeBase64(const std::string& text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string out(text.size() / 4 * 3, '\0');
    int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    size_t padding = text.empty() ? 0 : (text.back() == '=') + (text[text.size() - 2] == '=');
    out.resize(static_cast<size_t>(length) - padding);
    return out;
}

std::string encodeQueryValue(const std::string& text)
{
    std::unique_ptr<char, decltype(&std::free)> encoded(
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free);
    return encoded.get();
}

} // namespace camphorwell
