#include "libs/node/shared_answers.h"

namespace turmericwinch {

namespace {

using std::chrono::steady_clock;

}  // namespace

KeyedAnswer SharedAnswers::BeginRun(const std::string& name,
                                    const std::string& body_digest) {
  std::lock_guard lock(mutex_);
  KeyedAnswer keyed;
  keyed.verdict = keys_.BeginRun(name, body_digest, steady_clock::now());
  RemoveForgotten();
  if (keyed.verdict == KeyVerdict::kJoin)
    keyed.answer = answers_[name];
  else if (keyed.verdict != KeyVerdict::kReused)
    keyed.answer = std::make_shared<SharedAnswer>(total_bytes_);
  if (keyed.verdict == KeyVerdict::kRun)
    answers_[name] = keyed.answer;
  return keyed;
}

void SharedAnswers::EndRun(const std::string& name, bool complete) {
  std::lock_guard lock(mutex_);
  std::size_t bytes = 0;
  if (auto it = answers_.find(name); complete && it != answers_.end()) {
    std::optional<HttpResponse> response = it->second->CompleteResponse();
    complete = response.has_value();
    bytes = complete ? response->body.size() : 0;
  }
  keys_.EndRun(name, complete, bytes, steady_clock::now());
  RemoveForgotten();
}

std::size_t SharedAnswers::size() const {
  std::lock_guard lock(mutex_);
  return keys_.size();
}

std::size_t SharedAnswers::bytes() const {
  return *total_bytes_;
}

void SharedAnswers::RemoveForgotten() {
  for (const std::string& it : keys_.TakeForgotten())
    answers_.erase(it);
}

}  // namespace turmericwinch
