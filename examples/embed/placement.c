/* Embeds the scheduler module without the daemon: two targets and one task. Prints the target on
   which the task is started and why. */
#include <stdio.h>
#include <stdlib.h>

#include "sch/sch.h"

/* Registers a target with 4096 MB of memory; commands are appended to out. */
static void
add_target (SchState *scheduler, const char *name, int32_t cpu_milli, SchCmds *out)
{
  SchMsg msg = { .kind = SCH_MSG_TARGET_UP };
  msg.target.target = gr_name (name);
  msg.target.group = gr_name ("rack-1");
  msg.target.zone = gr_name ("zone-a");
  msg.target.capacity = (GrRes){ { cpu_milli, 4096, 0, 0 } };
  sch_step (scheduler, &msg, 0, out);
}

int
main (void)
{
  SchOptions options = { .seed = 1 };
  sch_options_defaults (&options);
  GrErr err = { 0 };
  SchState *scheduler = sch_new (&options, &err);
  if (!scheduler) {
    fprintf (stderr, "%s: %s\n", gr_err_name (err.code), err.detail);
    return 1;
  }
  SchCmds out = { 0 };
  add_target (scheduler, "w1", 1000, &out);
  add_target (scheduler, "w2", 8000, &out);
  SchTask task = { .id = gr_name ("job-1/0"), .attempt = 1, .job = gr_name ("job-1") };
  task.team = gr_name ("desk");
  task.kind = gr_name ("review");
  task.demand = (GrRes){ { 2000, 512, 0, 0 } };
  task.declared_run_ms = 100;
  task.deadline_ms = 10000;
  SchMsg submit = { .kind = SCH_MSG_SUBMIT, .submit = &task };
  gr_list_reset (&out);
  sch_step (scheduler, &submit, 1, &out);
  bool placed = false;
  for (size_t i = 0; i < out.count; i++) {
    const SchCmd *cmd = &out.items[i];
    if (cmd->kind != SCH_CMD_START)
      continue;
    placed = true;
    printf ("start %.*s on %.*s: %s\n", GR_NAME_ARG (cmd->id), GR_NAME_ARG (cmd->target),
            sch_why_name (cmd->why));
  }
  gr_list_clear (&out);
  sch_free (scheduler);
  return placed ? 0 : 1;
}
