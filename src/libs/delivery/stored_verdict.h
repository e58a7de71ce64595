// The object by which hosts store that a request is refused. Free of I/O.

#ifndef SRC_LIBS_DELIVERY_STORED_VERDICT_H_
#define SRC_LIBS_DELIVERY_STORED_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwinch {

// JSON text of a verdict that ends at `until_ms`, in Unix milliseconds.
std::string VerdictText(std::int64_t until_ms);

// End of the verdict in `text`; nothing if `text` is no verdict, as other
// writers may store such objects.
std::optional<std::int64_t> ParseVerdictEnd(std::string_view text);

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_STORED_VERDICT_H_
