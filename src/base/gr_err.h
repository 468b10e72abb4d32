/* Typed errors, returned through a pointer to a struct that the caller owns. */
#pragma once

#include "base/gr_str.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
  GR_ERR_NONE = 0,
  GR_ERR_INVALID,       /* a value is malformed or out of range */
  GR_ERR_MISSING,       /* a required field or option is absent */
  GR_ERR_UNKNOWN_FIELD, /* a field or option that is not defined */
  GR_ERR_CONFLICT,      /* another change came first, or two files disagree */
  GR_ERR_NOT_FOUND,
  GR_ERR_NOT_RUN,     /* the request certainly did not run */
  GR_ERR_UNKNOWN,     /* it is not known whether the request ran */
  GR_ERR_FAILED,      /* the request ran and failed */
  GR_ERR_CANCELLED,   /* the caller cancelled it */
  GR_ERR_UNPLACEABLE, /* no target can ever hold the request */
  GR_ERR_QUOTA,       /* a team's quota is used up */
  GR_ERR_OVERLOADED,  /* a bounded queue is full */
  GR_ERR_DEADLINE,    /* the deadline cannot be met or has passed */
  GR_ERR_UNAVAILABLE, /* a needed service or owner is not reachable now */
  GR_ERR_DENIED,      /* authentication or permission failed */
  GR_ERR_PROTOCOL,    /* a peer or service sent malformed data */
  GR_ERR_IO,          /* a socket or file operation failed */
  GR_ERR_TOO_LARGE,   /* input above a limit */
  GR_ERR_COUNT
} GrErrCode;

/* One failure: its type, the field, file or object concerned, and a message. */
typedef struct {
  GrErrCode code;
  GrName field;
  char detail[192];
} GrErr;

/* Stores an error; does nothing if err is NULL. Always returns false, so that callers can return
   the result. */
bool gr_err_set (GrErr *err, GrErrCode code, const char *field, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
/* Lower-case name used on the wire, for example "not_run". */
const char *gr_err_name (GrErrCode code);
/* Inverse of gr_err_name(); GR_ERR_NONE for an unknown name. */
GrErrCode gr_err_from_name (GrStr name);

#ifdef __cplusplus
}
#endif
