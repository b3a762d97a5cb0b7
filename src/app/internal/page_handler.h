#pragma once

#include <functional>
#include <utility>

#include "http/http.h"

namespace foxtailrudder {

/// HTTP handler that answers each request synchronously with the result of a function.
class PageHandler : public HttpHandler {
 public:
  explicit PageHandler(std::function<HttpResponse(const HttpRequest&)> page)
      : m_page(std::move(page)) {}

  void OnRequest(HttpRequest request, HttpResponder responder) override {
    responder.Respond(m_page(request));
  }
  void OnClientDisconnected(HttpRequestId /*request*/) override {}

 private:
  std::function<HttpResponse(const HttpRequest&)> m_page;
};

}  // namespace foxtailrudder
