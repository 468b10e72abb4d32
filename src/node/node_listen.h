/* Parser for the listen addresses "IP:PORT" in the settings. */
#pragma once

#include "base/gr_err.h"

/* Splits text into host and port 0 to 65535. An IPv6 address is written "[IPv6]:PORT"; host gets it
   without the brackets. Returns false with GR_ERR_INVALID and the name of the setting. */
bool node_listen_parse (const char *text, const char *setting, char *host, size_t host_size,
                        int64_t *port, GrErr *err);
