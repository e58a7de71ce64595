// Versioned objects in memory, as the platform keeps them.

#ifndef SRC_LIBS_STANDIN_OBJECT_STORE_H_
#define SRC_LIBS_STANDIN_OBJECT_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwinch {

// One stored object; `value` is JSON text.
struct StoredObject {
  std::string name;
  std::uint64_t version = 0;
  std::string value;
};

// Versions come from one counter for all objects.
class ObjectStore {
 public:
  const StoredObject* Find(const std::string& name) const;
  // The new version; nothing if the object exists.
  std::optional<std::uint64_t> Create(const std::string& name,
                                      std::string value);
  // The new version; nothing if the object does not have `version`.
  std::optional<std::uint64_t> Update(const std::string& name,
                                      std::uint64_t version,
                                      std::string value);
  // False if the object does not have `version`.
  bool Delete(const std::string& name, std::uint64_t version);
  std::vector<StoredObject> List(std::string_view prefix) const;

 private:
  std::map<std::string, StoredObject, std::less<>> objects_;
  std::uint64_t last_version_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_STANDIN_OBJECT_STORE_H_
