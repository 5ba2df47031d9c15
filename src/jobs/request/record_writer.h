// Writes a record as CBOR, item by item. Building a document first would be too slow for a leader that
// records thousands of starts and completions a second.
#pragma once

#include <array>
#include <cbor/encoding.h>
#include <string>
#include <string_view>

namespace camphorwell {

class record_writer {
public:
    // Starts an array; its `length` items follow.
    record_writer& array(size_t length) { return put(&cbor_encode_array_start, length); }
    record_writer& number(int64_t value)
    {
        return value >= 0 ? put(&cbor_encode_uint, static_cast<uint64_t>(value))
                          : put(&cbor_encode_negint, static_cast<uint64_t>(-1 - value));
    }
    record_writer& text(std::string_view value)
    {
        put(&cbor_encode_string_start, value.size());
        m_bytes.append(value);
        return *this;
    }
    record_writer& flag(bool value) { return put(&cbor_encode_bool, value); }
    std::string take() { return std::move(m_bytes); }

private:
    template <typename integer>
    record_writer& put(size_t (*encode)(integer, unsigned char*, size_t), integer value)
    {
        std::array<unsigned char, 9> header {}; // Fits the longest header of an item.
        m_bytes.append(
            reinterpret_cast<const char*>(header.data()), encode(value, header.data(), header.size()));
        return *this;
    }
    std::string m_bytes;
};

} // namespace camphorwell
