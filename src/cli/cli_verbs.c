#include "cli/cli.h"

/* Options of the verbs that read a configuration. */
#define CONFIG_OPTIONS "server token timeout-ms json"
/* Options of the verbs that call a daemon. */
#define CALL_OPTIONS "server token timeout-ms json"

static const CliVerb verbs[] = {
  { "config check", "FOLDER", "against strict token timeout-ms json", 1, 1,
    "check a configuration folder and list every error and warning with its file and line",
    "0: no error; 1: warnings, with --strict; 2: errors, a publication would be refused; 3: the "
    "server of --against cannot be reached or refuses the call",
    cli_config_check },
  { "config show", "[FOLDER]", CONFIG_OPTIONS " origin", 0, 1,
    "print the values of a folder, or without FOLDER those in force at the server", NULL,
    cli_config_show },
  { "config explain", "KEY [FOLDER]", CONFIG_OPTIONS, 1, 2,
    "tell the value of KEY, who set it where and why, and what is allowed", NULL,
    cli_config_explain },
  { "config diff", "FOLDER", CONFIG_OPTIONS, 1, 1,
    "compare a folder with the configuration in force at the server",
    "0: no difference; 1: differences", cli_config_diff },
  { "config publish", "FOLDER", "author platform " CONFIG_OPTIONS, 1, 1,
    "publish a folder and wait until it is in force or refused",
    "0: in force; 1: another publication came first; 2: the folder has problems",
    cli_config_publish },
  { "submit", "",
    CALL_OPTIONS " id team kind policy tasks cpu-milli memory-mb accelerators slots run-ms "
                 "within-ms payload idempotent exclusive urgent wait",
    0, 0, "submit a request (--kind) or a job (--policy)", NULL, cli_submit },
  { "status", "ID", CALL_OPTIONS, 1, 1, "print the state of a job or request", NULL, cli_status },
  { "wait", "ID", CALL_OPTIONS, 1, 1, "wait until a job or request has ended",
    "0: completed; 1: ended otherwise, or not ended within the timeout", cli_wait },
  { "cancel", "ID", CALL_OPTIONS, 1, 1, "cancel a job or request", NULL, cli_cancel },
  { "explain", "ID", CALL_OPTIONS, 1, 1, "tell why a job waits or was refused", NULL, cli_explain },
  { "top", "", CALL_OPTIONS, 0, 0, "print the load of the cell", NULL, cli_top },
  { "drain", "VM", CALL_OPTIONS, 1, 1, "ask an entry VM to hand over its keys and stop gracefully",
    NULL, cli_drain },
  { "doc", "man|man-config|completion|configuration", "", 1, 1,
    "print a document generated from the tables of this program", NULL, cli_doc },
};

#define FIELD(name) offsetof (CliSettings, name)
#define AMOUNT_MAX INT32_MAX

static const GrOptSpec options[] = {
  { "server", GR_OPT_TEXT, FIELD (server), "URL", "http://127.0.0.1:8080", 0, 0,
    "an entry VM or the load balancer before them" },
  { "platform", GR_OPT_TEXT, FIELD (platform), "URL", NULL, 0, 0,
    "the platform's service with the log" },
  { "token", GR_OPT_TEXT, FIELD (token), "TOKEN", "", 0, 0,
    "bearer token; the environment keeps it out of the process list" },
  { "timeout-ms", GR_OPT_INT, FIELD (timeout_ms), "MS", "30000", 1, 86400000,
    "longest time to wait" },
  { "json", GR_OPT_FLAG, FIELD (json), NULL, NULL, 0, 0, "print JSON" },
  { "origin", GR_OPT_FLAG, FIELD (origin), NULL, NULL, 0, 0,
    "add file, line, author and reason to each value" },
  { "against", GR_OPT_TEXT, FIELD (against), "URL|FOLDER|FILE", "", 0, 0,
    "also list what differs from the version in force at a server, from a folder, or from a file "
    "written by config show --json" },
  { "strict", GR_OPT_FLAG, FIELD (strict), NULL, NULL, 0, 0, "exit with 1 if there are warnings" },
  { "author", GR_OPT_TEXT, FIELD (author), "NAME", NULL, 0, 0, "who publishes" },
  { "id", GR_OPT_TEXT, FIELD (id), "ID", "", 0, 0, "id to submit under; made up if empty" },
  { "team", GR_OPT_TEXT, FIELD (team), "TEAM", NULL, 0, 0, "team of the caller" },
  { "kind", GR_OPT_TEXT, FIELD (kind), "KIND", "", 0, 0, "kind of the request" },
  { "policy", GR_OPT_TEXT, FIELD (policy), "POLICY", "", 0, 0, "service, batch or gang" },
  { "tasks", GR_OPT_INT, FIELD (tasks), "N", "1", 1, 100000, "tasks of the job" },
  { "cpu-milli", GR_OPT_INT, FIELD (cpu_milli), "N", "0", 0, AMOUNT_MAX,
    "processor need of a task in 1/1000 of a core" },
  { "memory-mb", GR_OPT_INT, FIELD (memory_mb), "MB", "0", 0, AMOUNT_MAX, "memory need of a task" },
  { "accelerators", GR_OPT_INT, FIELD (accelerators), "N", "0", 0, AMOUNT_MAX,
    "accelerators of a task" },
  { "slots", GR_OPT_INT, FIELD (slots), "N", "0", 0, AMOUNT_MAX, "executor slots of a task" },
  { "run-ms", GR_OPT_INT, FIELD (run_ms), "MS", "0", 0, INT32_MAX, "expected run time" },
  { "within-ms", GR_OPT_INT, FIELD (within_ms), "MS", "60000", 1, 31536000000,
    "time from now until the deadline" },
  { "payload", GR_OPT_TEXT, FIELD (payload), "TEXT", "", 0, 0, "text for the target" },
  { "idempotent", GR_OPT_FLAG, FIELD (idempotent), NULL, NULL, 0, 0,
    "running the request twice does no harm" },
  { "exclusive", GR_OPT_FLAG, FIELD (exclusive), NULL, NULL, 0, 0,
    "the request must not run in two places at once" },
  { "urgent", GR_OPT_FLAG, FIELD (urgent), NULL, NULL, 0, 0, "start before other jobs" },
  { "wait", GR_OPT_FLAG, FIELD (wait), NULL, NULL, 0, 0, "wait until the job has ended" },
};

const CliVerb *
cli_verbs (size_t *count)
{
  *count = sizeof verbs / sizeof verbs[0];
  return verbs;
}

/* Returns the number of words in a verb's name if the arguments begin with them, else 0. */
static int
match_verb_name (const char *name, int count, char **words)
{
  int used = 0;
  while (*name) {
    size_t len = strcspn (name, " ");
    if (used >= count || strlen (words[used]) != len || memcmp (words[used], name, len) != 0)
      return 0;
    used++;
    name += len + (name[len] == ' ');
  }
  return used;
}

const CliVerb *
cli_verb_find (int count, char **words, int *used)
{
  for (size_t i = 0; i < sizeof verbs / sizeof verbs[0]; i++) {
    *used = match_verb_name (verbs[i].name, count, words);
    if (*used > 0)
      return &verbs[i];
  }
  return NULL;
}

/* True if the list, separated by spaces, contains the name. */
static bool
list_has_option (const char *list, const char *name)
{
  size_t name_len = strlen (name);
  while (*list) {
    size_t len = strcspn (list, " ");
    if (len == name_len && memcmp (list, name, len) == 0)
      return true;
    list += len + (list[len] == ' ');
  }
  return false;
}

size_t
cli_verb_options (const CliVerb *verb, GrOptSpec *out)
{
  size_t count = 0;
  for (size_t i = 0; i < sizeof options / sizeof options[0]; i++) {
    if (list_has_option (verb->options, options[i].name) && count < CLI_OPTIONS_MAX)
      out[count++] = options[i];
  }
  return count;
}
