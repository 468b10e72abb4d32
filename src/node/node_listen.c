#include "node/node_listen.h"

bool
node_listen_parse (const char *text, const char *setting, char *host, size_t host_size,
                   int64_t *port, GrErr *err)
{
  const char *colon = strrchr (text, ':');
  const char *begin = text;
  const char *end = colon;
  if (!colon)
    return gr_err_set (err, GR_ERR_INVALID, setting, "'%s' is not IP:PORT", text);
  if (*begin == '[' && end > begin && end[-1] == ']') {
    begin++;
    end--;
  }
  size_t len = (size_t) (end - begin);
  if (len == 0 || len >= host_size)
    return gr_err_set (err, GR_ERR_INVALID, setting, "'%s' has no valid IP address", text);
  memcpy (host, begin, len);
  host[len] = '\0';
  if (!gr_str_to_int64 (gr_str_from_c (colon + 1), port) || *port < 0 || *port > 65535)
    return gr_err_set (err, GR_ERR_INVALID, setting,
                       "'%s': the port must be a number from 0 to 65535", text);
  return true;
}
