// Hash functions, HMAC and random bytes.

#ifndef SRC_LIBS_BASE_DIGEST_H_
#define SRC_LIBS_BASE_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmericwinch {

// SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

// HMAC-SHA-256 of `data` under `key`, 32 raw bytes.
std::string HmacSha256(std::string_view key, std::string_view data);

// Compares in constant time: the duration depends only on the lengths.
bool EqualInConstantTime(std::string_view left, std::string_view right);

// Fast 64-bit hash that is the same on every host and in every version.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

// `n` bytes from a cryptographic random generator, as 2n hexadecimal digits.
std::string RandomHex(std::size_t n);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_DIGEST_H_
