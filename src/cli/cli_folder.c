#include "cli/cli_folder.h"

#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

/* Larger than the file size limit of cfg, which reports an oversized file by name. */
#define FILE_BYTES_MAX (2 * 1024 * 1024)

static int
is_conf_file (const struct dirent *entry)
{
  size_t len = strlen (entry->d_name);
  return entry->d_name[0] != '.' && len > 5 && strcmp (entry->d_name + len - 5, ".conf") == 0;
}

static bool
read_file (const char *path, GrBuf *out, GrErr *err)
{
  FILE *stream = fopen (path, "rb");
  if (!stream)
    return gr_err_set (err, GR_ERR_IO, "file", "%s: %s", path, strerror (errno));
  char block[16384];
  size_t len;
  while ((len = fread (block, 1, sizeof block, stream)) > 0 && out->len <= FILE_BYTES_MAX)
    gr_buf_append (out, block, len);
  bool failed = ferror (stream) != 0;
  fclose (stream);
  if (failed)
    return gr_err_set (err, GR_ERR_IO, "file", "%s: cannot be read", path);
  if (out->len > FILE_BYTES_MAX)
    return gr_err_set (err, GR_ERR_TOO_LARGE, "file", "%s: larger than %d bytes", path,
                       FILE_BYTES_MAX);
  return true;
}

bool
cli_folder_read (const char *path, CliFolder *out, GrErr *err)
{
  memset (out, 0, sizeof *out);
  struct dirent **entries = NULL;
  int count = scandir (path, &entries, is_conf_file, NULL);
  if (count < 0)
    return gr_err_set (err, GR_ERR_NOT_FOUND, "folder", "%s: %s", path, strerror (errno));
  bool ok = count > 0;
  if (!ok)
    gr_err_set (err, GR_ERR_NOT_FOUND, "folder", "%s: no file ends in .conf", path);
  for (int i = 0; i < count; i++) {
    GrBuf file_path = { 0 };
    GrBuf text = { 0 };
    gr_buf_printf (&file_path, "%s/%s", path, entries[i]->d_name);
    ok = ok && read_file (file_path.data, &text, err);
    if (ok) {
      CfgFile file = { .text = { gr_str_dup (gr_buf_str (&text)), text.len } };
      GrStr name = gr_str_from_c (entries[i]->d_name);
      file.name = (GrStr){ gr_str_dup (name), name.len };
      gr_list_push (&out->files, file);
    }
    gr_buf_clear (&file_path);
    gr_buf_clear (&text);
    free (entries[i]);
  }
  free ((void *) entries);
  if (!ok)
    cli_folder_clear (out);
  return ok;
}

void
cli_folder_clear (CliFolder *folder)
{
  for (size_t i = 0; i < folder->files.count; i++) {
    free ((void *) folder->files.items[i].name.data);
    free ((void *) folder->files.items[i].text.data);
  }
  gr_list_clear (&folder->files);
}
