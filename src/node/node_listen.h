/* Listen addresses "IP:PORT" of the settings. */
#pragma once

#include "base/gr_err.h"

/* Splits an address; "[V6]:PORT" is allowed. Error GR_ERR_INVALID names the setting. */
bool node_listen_parse (const char *text, const char *setting, char *host, size_t host_size,
                        int64_t *port, GrErr *err);
