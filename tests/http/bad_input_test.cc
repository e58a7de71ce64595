// Sends malformed, oversized and slow requests to the server over real sockets.

#include <CppUTest/TestHarness.h>

#include "http/raw_exchange.h"
#include "libs/http/http_constants.h"

namespace turmericwinch {

namespace {

constexpr std::chrono::milliseconds kShortRead{50};

HttpServerLimits Limits() {
  return {kMaxTestBodyBytes, 100, kShortRead};
}

std::string Post(const std::string& fields, const std::string& body) {
  return "POST /call HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" + body;
}

}  // namespace

TEST_GROUP(BadInput) {
  RawExchange server{Limits()};
};

TEST(BadInput, AnswersWithAnErrorCodeAndDoesNotCallTheHandler) {
  struct Case {
    const char* name;
    std::string bytes;
    bool half_close;
    const char* status;
    const char* code;
  };
  const std::string large_field =
      "X-Large: " + std::string(kHttpMostHeaderBytes, 'x') + "\r\n";
  std::string trailers;
  while (trailers.size() < 2 * kHttpMaxBufferedBytes)
    trailers += "Name: value\r\n";
  const Case cases[] = {
      {"oversized header", Post(large_field, ""), false, "413", "\"code\":103"},
      {"oversized body",
       Post("Content-Length: 5000\r\n", std::string(5000, 'x')), false, "413",
       "\"code\":103"},
      {"oversized body that is only announced",
       Post("Content-Length: 9000000\r\n", ""), false, "413", "\"code\":103"},
      {"malformed request line", "GARBAGE\r\n\r\n", false, "400",
       "\"code\":100"},
      {"unknown version", "GET / HTTP/9.9\r\n\r\n", false, "400",
       "\"code\":100"},
      {"control byte in the target", "GET /\x01 HTTP/1.1\r\n\r\n", false, "400",
       "\"code\":100"},
      {"field without a colon", "GET / HTTP/1.1\r\nbroken\r\n\r\n", false,
       "400", "\"code\":100"},
      {"bad content length", Post("Content-Length: -1\r\n", ""), false, "400",
       "\"code\":100"},
      {"two content lengths",
       Post("Content-Length: 1\r\nContent-Length: 2\r\n", "ab"), false, "400",
       "\"code\":100"},
      {"bad chunk size", Post("Transfer-Encoding: chunked\r\n", "zz\r\nab\r\n"),
       false, "400", "\"code\":100"},
      {"trailers without end",
       Post("Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n" + trailers),
       false, "413", "\"code\":103"},
      {"chunk extension without end",
       Post("Transfer-Encoding: chunked\r\n",
            "1;" + std::string(2 * kHttpMaxBufferedBytes, 'x')),
       false, "413", "\"code\":103"},
      {"slow header", "GET / HTTP/1.1\r\nX-Slow: ", false, "408",
       "\"code\":105"},
      {"slow body", Post("Content-Length: 10\r\n", "half"), false, "408",
       "\"code\":105"},
      {"half-closed header", "GET / HTTP/1.1\r\nX-Half: ", true, "400",
       "\"code\":100"},
      {"half-closed body", Post("Content-Length: 10\r\n", "half"), true, "400",
       "\"code\":100"},
  };
  for (const Case& it : cases) {
    const std::string answer = server.Send(it.bytes, it.half_close, 0);
    CHECK_TRUE_TEXT(answer.starts_with(std::string("HTTP/1.1 ") + it.status),
                    it.name);
    CHECK_TRUE_TEXT(answer.find(it.code) != std::string::npos, it.name);
    CHECK_TRUE_TEXT(answer.find("\"ran\":\"not_run\"") != std::string::npos,
                    it.name);
    LONGS_EQUAL_TEXT(0, server.bodies.size(), it.name);
    CHECK_TRUE_TEXT(server.AnswersRequests(), it.name);
  }
}

TEST(BadInput, RejectsAnOversizedChunkedBody) {
  const std::string answer =
      server.Send(Post("Transfer-Encoding: chunked\r\n",
                       "1388\r\n" + std::string(5000, 'x') + "\r\n0\r\n\r\n"),
                  false, 0);
  CHECK_TRUE(answer.starts_with("HTTP/1.1 413"));
  LONGS_EQUAL(0, server.bodies.size());
}

TEST(BadInput, IgnoresAConnectionClosedWithoutData) {
  STRCMP_EQUAL("", server.Send("", true, 0).c_str());
  CHECK_TRUE(server.AnswersRequests());
}

TEST(BadInput, AnswersACompleteRequestOnAHalfClosedConnection) {
  const std::string answer =
      server.Send(Post("Content-Length: 2\r\n", "ab"), true, 0);
  CHECK_TRUE(answer.starts_with("HTTP/1.1 200"));
  STRCMP_EQUAL("ab", server.bodies.at(0).c_str());
}

TEST(BadInput, AnswersPipelinedRequestsInOrder) {
  server.Send(Post("Content-Length: 1\r\n", "1") +
                  Post("Content-Length: 1\r\n", "2") +
                  Post("Content-Length: 1\r\n", "3"),
              false, 3);
  LONGS_EQUAL(3, server.bodies.size());
  STRCMP_EQUAL("1", server.bodies[0].c_str());
  STRCMP_EQUAL("3", server.bodies[2].c_str());
}

TEST(BadInput, ReassemblesChunkedBodies) {
  server.Send(Post("Transfer-Encoding: chunked\r\n",
                   "3\r\nabc\r\n2;note=1\r\nde\r\n0\r\n\r\n"),
              false, 1);
  STRCMP_EQUAL("abcde", server.bodies.at(0).c_str());
}

// The limits of trailers and chunk extensions do not reject small ones.
TEST(BadInput, AcceptsSmallTrailersAndChunkExtensions) {
  const std::string answer =
      server.Send(Post("Transfer-Encoding: chunked\r\nConnection: close\r\n",
                       "3;name=value\r\nabc\r\n0\r\nName: value\r\n\r\n"),
                  false, 0);
  CHECK_TRUE(answer.starts_with("HTTP/1.1 200"));
  STRCMP_EQUAL("abc", server.bodies.at(0).c_str());
}

}  // namespace turmericwinch
