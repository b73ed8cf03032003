#include "base/error.h"

namespace cicadafork {

const char *toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unauthenticated:
        return "unauthenticated";
    case ErrorCode::PermissionDenied:
        return "permission_denied";
    case ErrorCode::ResourceExhausted:
        return "resource_exhausted";
    case ErrorCode::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Cancelled:
        return "cancelled";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace cicadafork
