/* Reads a configuration folder from disk. */
#pragma once

#include "cfg/cfg.h"

typedef struct {
  GR_LIST (CfgFile) files; /* in no particular order; names and texts are owned */
} CliFolder;

/* Reads the files whose names end in ".conf" and do not start with a dot. After success the caller
   releases out with cli_folder_clear(). Errors: GR_ERR_NOT_FOUND, GR_ERR_IO, GR_ERR_TOO_LARGE. */
bool cli_folder_read (const char *path, CliFolder *out, GrErr *err);
void cli_folder_clear (CliFolder *folder);
