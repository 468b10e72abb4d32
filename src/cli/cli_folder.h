/* Reads a configuration folder from disk. */
#pragma once

#include "cfg/cfg.h"

typedef struct {
  GR_LIST (CfgFile) files; /* owned names and texts, by name */
} CliFolder;

/* Takes the files that end in ".conf". Errors: GR_ERR_NOT_FOUND, GR_ERR_IO, GR_ERR_TOO_LARGE. */
bool cli_folder_read (const char *path, CliFolder *out, GrErr *err);
void cli_folder_clear (CliFolder *folder);
