#include "http/unansweredrequest.h"

namespace fescuetiller {

std::string
ToString(ConnectionEnd aEnd)
{
  switch (aEnd) {
    case ConnectionEnd::ClientClosed:
      return "client left";
    case ConnectionEnd::ConnectionLost:
      return "connection lost";
    case ConnectionEnd::ResponseNotRead:
      return "response not read";
    case ConnectionEnd::RequestTimeout:
      return "request timeout";
    case ConnectionEnd::IdleTimeout:
      return "idle timeout";
    case ConnectionEnd::NoRoom:
      return "no room";
    case ConnectionEnd::ResponseAborted:
      return "response aborted";
    case ConnectionEnd::NoResponse:
      return "no response";
    case ConnectionEnd::Finished:
      return "finished";
    case ConnectionEnd::Stopped:
      return "stopped";
  }
  return "unknown";
}

bool
IsEndedByClient(ConnectionEnd aEnd)
{
  return aEnd == ConnectionEnd::ClientClosed ||
         aEnd == ConnectionEnd::ConnectionLost;
}

std::string
ToString(UnansweredRequest::Response aResponse)
{
  switch (aResponse) {
    case UnansweredRequest::Response::NotRead:
      return "not-read";
    case UnansweredRequest::Response::None:
      return "none";
    case UnansweredRequest::Response::Started:
      return "started";
    case UnansweredRequest::Response::Whole:
      return "whole";
  }
  return "unknown";
}

} // namespace fescuetiller
