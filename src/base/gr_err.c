#include "base/gr_err.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const names[GR_ERR_COUNT] = {
  [GR_ERR_NONE] = "none",
  [GR_ERR_INVALID] = "invalid",
  [GR_ERR_MISSING] = "missing",
  [GR_ERR_UNKNOWN_FIELD] = "unknown_field",
  [GR_ERR_CONFLICT] = "conflict",
  [GR_ERR_NOT_FOUND] = "not_found",
  [GR_ERR_NOT_RUN] = "not_run",
  [GR_ERR_UNKNOWN] = "unknown",
  [GR_ERR_FAILED] = "failed",
  [GR_ERR_CANCELLED] = "cancelled",
  [GR_ERR_UNPLACEABLE] = "unplaceable",
  [GR_ERR_QUOTA] = "quota",
  [GR_ERR_OVERLOADED] = "overloaded",
  [GR_ERR_DEADLINE] = "deadline",
  [GR_ERR_UNAVAILABLE] = "unavailable",
  [GR_ERR_DENIED] = "denied",
  [GR_ERR_PROTOCOL] = "protocol",
  [GR_ERR_IO] = "io",
  [GR_ERR_TOO_LARGE] = "too_large",
};

bool
gr_err_set (GrErr *err, GrErrCode code, const char *field, const char *format, ...)
{
  if (!err)
    return false;
  err->code = code;
  err->field = gr_name (field);
  va_list args;
  va_start (args, format);
  vsnprintf (err->detail, sizeof err->detail, format, args);
  va_end (args);
  return false;
}

const char *
gr_err_name (GrErrCode code)
{
  return code < GR_ERR_COUNT ? names[code] : "none";
}

GrErrCode
gr_err_from_name (GrStr name)
{
  for (int code = GR_ERR_NONE + 1; code < GR_ERR_COUNT; code++) {
    if (gr_str_equal (name, gr_str_from_c (names[code])))
      return (GrErrCode) code;
  }
  return GR_ERR_NONE;
}
