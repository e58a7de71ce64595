// Faults that only a model engine shows.

#ifndef SRC_LIBS_STANDIN_ENGINE_FAULTS_H_
#define SRC_LIBS_STANDIN_ENGINE_FAULTS_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace turmericwinch {

// Set by PUT /faults along with FaultSwitches; absent ones are reset.
struct EngineFaults {
  // Token after which a stream's connection is closed, or goes silent; none
  // if negative. Only the next `times` streams are hit.
  std::int64_t break_after = -1;
  std::int64_t silent_after = -1;
  std::int64_t times = 1;
  // Answers carry another request's id, no usage, or are not JSON.
  bool wrong_id = false;
  bool no_usage = false;
  bool bad_json = false;
};

// Reads faults from JSON text; nothing if it is not an object.
std::optional<EngineFaults> EngineFaultsOf(std::string_view text);

}  // namespace turmericwinch

#endif  // SRC_LIBS_STANDIN_ENGINE_FAULTS_H_
