#include "libs/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace turmericwinch {

namespace {

constexpr char kHexDigits[] = "0123456789abcdef";

std::string ToHex(const unsigned char* bytes, std::size_t n) {
  std::string hex;
  hex.reserve(n * 2);
  for (std::size_t it = 0; it < n; ++it) {
    hex += kHexDigits[bytes[it] >> 4];
    hex += kHexDigits[bytes[it] & 15];
  }
  return hex;
}

const unsigned char* Bytes(std::string_view data) {
  return reinterpret_cast<const unsigned char*>(data.data());
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  unsigned char buf[SHA256_DIGEST_LENGTH];
  SHA256(Bytes(data), data.size(), buf);
  return ToHex(buf, sizeof(buf));
}

std::string HmacSha256(std::string_view key, std::string_view data) {
  unsigned char buf[EVP_MAX_MD_SIZE];
  unsigned int n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Bytes(data),
       data.size(), buf, &n);
  return {reinterpret_cast<char*>(buf), n};
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size())
    return false;
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

std::string RandomHex(std::size_t n) {
  std::string buf(n, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(buf.data()), static_cast<int>(n));
  return ToHex(Bytes(buf), n);
}

}  // namespace turmericwinch
