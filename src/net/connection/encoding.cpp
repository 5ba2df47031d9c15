// Encodings by OpenSSL and libevent.
#include "net/connection/encoding.h"

#include <algorithm>
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
    constexpr size_t maxPadding = 2;
    size_t padding = text.size() - (text.find_last_not_of('=') + 1);
    // EVP_DecodeBlock skips white space around the text and takes '=' for a digit.
    bool digitsOnly = text.find_first_of(" \t\r\n\v\f") == std::string::npos
        && text.find('=') >= text.size() - std::min(padding, text.size());
    if (text.size() % 4 != 0 || padding > maxPadding || !digitsOnly)
        return std::nullopt;
    std::string out(text.size() / 4 * 3, '\0');
    int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0 || static_cast<size_t>(length) < padding)
        return std::nullopt;
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
