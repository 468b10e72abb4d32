/* gr-hostile: clients outside our control, for tests/e2e_hostile_*.sh. Opens COUNT connections to
   127.0.0.1:PORT, sends what CASE says on each and reports once there was no traffic for a while.
   The connections stay open until standard input ends. With serve-*, it is a service on PORT
   instead. More arguments select the clients of jobs.c.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/gr_str.h"
#include "hostile.h"

#define SETTLED_MS 2000
/* Longest time until the report, also if the peer reads without end. */
#define GIVE_UP_MS 20000
#define WRITE_MAX 65536
#define SERVE_CLIENTS 64
#define SERVE_MS 6000

/* Each client sends the head, then the unit `units` times, then the first last_bytes of it. */
typedef struct {
  const char *name;
  const char *head;
  const char *unit; /* NULL: unit_bytes times 'x' */
  size_t unit_bytes;
  size_t units;
  size_t last_bytes;
  size_t piece;     /* most bytes of one write, in turn with the other connections */
  bool never_reads; /* does not read the answers */
} Case;

#define POST "POST /jobs/0123456789abcdef HTTP/1.1\r\nhost: q.example\r\n"
#define GET "GET /jobs/0123456789abcdef HTTP/1.1\r\nhost: q.example\r\n\r\n"
#define CHUNKED POST "transfer-encoding: chunked\r\n\r\n"

static const Case cases[] = {
  { "whole", POST "content-length: 262144\r\n\r\n", NULL, 4096, 64, 0, WRITE_MAX, false },
  { "short", POST "content-length: 262144\r\n\r\n", NULL, 4096, 63, 4095, WRITE_MAX, false },
  { "pieces", POST "content-length: 262144\r\n\r\n", NULL, 4096, 63, 4095, 3000, false },
  { "announced", POST "content-length: 67108864\r\n\r\n", NULL, 4096, 16384, 0, WRITE_MAX, false },
  { "expected", POST "expect: 100-continue\r\ncontent-length: 67108864\r\n\r\n", NULL, 4096, 16384,
    0, WRITE_MAX, false },
  { "chunked", CHUNKED "4000000\r\n", NULL, 4096, 16384, 0, WRITE_MAX, false },
  { "bytes", CHUNKED, "1\r\nx\r\n", 0, 65535, 0, WRITE_MAX, false },
  { "header", POST "x-header-of-a-client: ", NULL, 4096, 100, 0, WRITE_MAX, false },
  { "headers", POST, "x-header-of-a-client: 0123456789\r\n", 0, 100000, 0, WRITE_MAX, false },
  { "pipelined", "", GET, 0, 100000, 0, WRITE_MAX, false },
  { "unread", "", GET, 0, 100000, 0, WRITE_MAX, true },
  { "idle", "", NULL, 0, 0, 0, WRITE_MAX, false },
};

typedef struct {
  int fd; /* -1: closed */
  size_t sent;
  bool answered;
} Client;

static int64_t
now_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t) t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
close_client (Client *client)
{
  close (client->fd);
  client->fd = -1;
}

static bool
open_client (Client *client, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  client->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (client->fd < 0)
    return false;
  if (connect (client->fd, (struct sockaddr *) &address, sizeof address) == 0
      || errno == EINPROGRESS)
    return true;
  close_client (client);
  return true;
}

static bool
has_more (const Case *test_case, const char *unit, const Client *client)
{
  return client->sent
         < strlen (test_case->head) + test_case->units * strlen (unit) + test_case->last_bytes;
}

/* Writes once. Returns true if something was sent or the connection closed. */
static bool
send_some (const Case *test_case, const char *unit, Client *client)
{
  static char out[WRITE_MAX];
  size_t head_len = strlen (test_case->head);
  size_t unit_len = strlen (unit);
  size_t total = head_len + test_case->units * unit_len + test_case->last_bytes;
  size_t want = total - client->sent < test_case->piece ? total - client->sent : test_case->piece;
  for (size_t filled = 0; filled < want;) {
    size_t at = client->sent + filled;
    const char *from = at < head_len ? test_case->head + at : unit + (at - head_len) % unit_len;
    size_t len = at < head_len ? head_len - at : unit_len - (at - head_len) % unit_len;
    if (len > want - filled)
      len = want - filled;
    memcpy (out + filled, from, len);
    filled += len;
  }
  ssize_t n = send (client->fd, out, want, MSG_NOSIGNAL);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return false;
  if (n < 0)
    close_client (client);
  else
    client->sent += (size_t) n;
  return true;
}

/* Reads once. Returns true if something arrived or the connection closed. */
static bool
read_some (Client *client)
{
  char in[4096];
  ssize_t n = recv (client->fd, in, sizeof in, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return false;
  client->answered = client->answered || n > 0;
  if (n <= 0)
    close_client (client);
  return true;
}

/* --- Answers of a service --- */

typedef struct {
  const char *name;
  const char *head;
  const char *unit;
  size_t units;
} Answer;

#define OK_HEAD "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"

static const Answer answers[] = {
  { "serve-large", OK_HEAD "content-length: 314572810\r\n\r\n{\"items\":[", "1,", 157286400 },
  { "serve-wide", OK_HEAD "content-length: 12000010\r\n\r\n{\"items\":[", "{},", 4000000 },
  { "serve-deep", OK_HEAD "content-length: 12000010\r\n\r\n{\"items\":[", "[[[", 4000000 },
};

/* Answers every call to the port in this way. Reports after SERVE_MS. */
static void
serve (const Answer *answer, int port)
{
  Case test_case = { .head = answer->head, .units = answer->units, .piece = WRITE_MAX };
  Client clients[SERVE_CLIENTS];
  struct pollfd polls[SERVE_CLIENTS + 1];
  int on = 1;
  int64_t report_at = now_ms () + SERVE_MS;
  bool reported = false;
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener, (struct sockaddr *) &address, sizeof address) != 0
      || listen (listener, SERVE_CLIENTS) != 0) {
    fprintf (stderr, "gr-hostile: port %d: %s\n", port, strerror (errno));
    exit (1);
  }
  printf ("serving\n");
  fflush (stdout);
  for (size_t i = 0; i < SERVE_CLIENTS; i++)
    clients[i].fd = -1;
  struct pollfd input = { .fd = STDIN_FILENO, .events = POLLIN };
  while (poll (&input, 1, 0) == 0) {
    size_t spare = SERVE_CLIENTS;
    for (size_t i = 0; i < SERVE_CLIENTS; i++) {
      polls[i] = (struct pollfd){ .fd = clients[i].fd, .events = POLLIN };
      if (clients[i].fd < 0)
        spare = i;
      else if (clients[i].answered && has_more (&test_case, answer->unit, &clients[i]))
        polls[i].events = POLLOUT;
    }
    polls[SERVE_CLIENTS]
        = (struct pollfd){ .fd = spare < SERVE_CLIENTS ? listener : -1, .events = POLLIN };
    poll (polls, SERVE_CLIENTS + 1, 100);
    for (size_t i = 0; i < SERVE_CLIENTS; i++) {
      if (polls[i].fd >= 0 && (polls[i].revents & POLLOUT))
        send_some (&test_case, answer->unit, &clients[i]);
      else if (polls[i].fd >= 0 && polls[i].revents)
        read_some (&clients[i]);
    }
    if (polls[SERVE_CLIENTS].revents & POLLIN)
      clients[spare] = (Client){ .fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK) };
    if (!reported && now_ms () >= report_at)
      printf ("settled case=%s\n", answer->name);
    reported = reported || now_ms () >= report_at;
    fflush (stdout);
  }
}

/* --- Clients --- */

static void
run_until_settled (const Case *test_case, const char *unit, Client *clients, size_t count)
{
  struct pollfd *polls = gr_calloc (count, sizeof *polls);
  int64_t began_at = now_ms ();
  int64_t moved_at = began_at;
  while (now_ms () - moved_at < SETTLED_MS && now_ms () - began_at < GIVE_UP_MS) {
    for (size_t i = 0; i < count; i++) {
      polls[i] = (struct pollfd){ .fd = clients[i].fd };
      if (!test_case->never_reads)
        polls[i].events |= POLLIN;
      if (clients[i].fd >= 0 && has_more (test_case, unit, &clients[i]))
        polls[i].events |= POLLOUT;
    }
    if (poll (polls, count, 100) <= 0)
      continue;
    for (size_t i = 0; i < count; i++) {
      bool moved = false;
      if (polls[i].fd >= 0 && (polls[i].revents & (POLLIN | POLLHUP | POLLERR)))
        moved = read_some (&clients[i]);
      if (clients[i].fd >= 0 && (polls[i].revents & POLLOUT))
        moved = send_some (test_case, unit, &clients[i]) || moved;
      if (moved)
        moved_at = now_ms ();
    }
  }
  free (polls);
}

int
main (int argc, char **argv)
{
  const Case *test_case = NULL;
  if (argc == 4 && strcmp (argv[2], "over") == 0)
    return hostile_over_main (argc - 1, argv + 1);
  if (argc > 4)
    return hostile_jobs_main (argc - 1, argv + 1);
  for (size_t i = 0; argc == 4 && i < sizeof cases / sizeof cases[0]; i++) {
    if (strcmp (cases[i].name, argv[2]) == 0)
      test_case = &cases[i];
  }
  for (size_t i = 0; argc == 4 && i < sizeof answers / sizeof answers[0]; i++) {
    if (strcmp (answers[i].name, argv[2]) == 0) {
      serve (&answers[i], atoi (argv[1]));
      return 0;
    }
  }
  if (!test_case) {
    fprintf (stderr, "usage: gr-hostile PORT CASE COUNT | PORTS CASE CLIENTS EACH [FILE]\n");
    return 2;
  }
  size_t count = (size_t) atoi (argv[3]);
  Client *clients = gr_calloc (count, sizeof *clients);
  char *filler = gr_calloc (test_case->unit_bytes + 1, 1);
  memset (filler, 'x', test_case->unit_bytes);
  const char *unit = test_case->unit ? test_case->unit : filler;
  for (size_t i = 0; i < count; i++) {
    if (!open_client (&clients[i], atoi (argv[1]))) {
      fprintf (stderr, "gr-hostile: %zu sockets opened: %s\n", i, strerror (errno));
      return 1;
    }
  }
  run_until_settled (test_case, unit, clients, count);
  size_t open = 0, answered = 0;
  for (size_t i = 0; i < count; i++) {
    open += clients[i].fd >= 0;
    answered += clients[i].answered;
  }
  printf ("settled case=%s clients=%zu open=%zu answered=%zu\n", test_case->name, count, open,
          answered);
  fflush (stdout);
  char rest;
  while (read (STDIN_FILENO, &rest, 1) > 0) {
  }
  return 0;
}
