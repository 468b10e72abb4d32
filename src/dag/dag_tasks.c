/* State of the tasks of a step. A task has a state from its first assignment until it is done, so
   that tasks that wait take no memory: a legal job has thousands of them.

   Tasks are assigned for the first time in the order of their indexes. From DagStep.untouched_from
   on none was; a task below it without a state is done. */
#include <stdlib.h>

#include "dag/dag_priv.h"

/* Position of the task in step->tasks, or where it would be. */
static size_t
find_position (const DagStep *step, uint32_t index)
{
  size_t low = 0, high = step->tasks.count;
  while (low < high) {
    size_t middle = (low + high) / 2;
    if (step->tasks.items[middle]->index < index)
      low = middle + 1;
    else
      high = middle;
  }
  return low;
}

DagTask *
dag_step_find_task (const DagStep *step, uint32_t index)
{
  size_t at = find_position (step, index);
  bool found = at < step->tasks.count && step->tasks.items[at]->index == index;
  return found ? step->tasks.items[at] : NULL;
}

int32_t
dag_step_untouched (const DagStep *step)
{
  return step->spec.count - step->untouched_from;
}

DagTask *
dag_step_touch (DagStep *step)
{
  DagTask *task = gr_calloc (1, sizeof *task);
  task->step = step;
  task->index = (uint32_t) step->untouched_from++;
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  gr_list_push (&step->tasks, task);
  return task;
}

void
dag_step_skip_done (DagStep *step)
{
  step->untouched_from++;
}

void
dag_step_finish_task (DagState *dag, DagTask *task)
{
  DagStep *step = task->step;
  size_t at = find_position (step, task->index);
  step->tasks.count--;
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  size_t after = (step->tasks.count - at) * sizeof *step->tasks.items;
  memmove (&step->tasks.items[at], &step->tasks.items[at + 1], after);
  task->state = TASK_DONE;
  task->target_next = dag->done_tasks;
  dag->done_tasks = task;
}

void
dag_tasks_free_done (DagState *dag)
{
  while (dag->done_tasks) {
    DagTask *task = dag->done_tasks;
    dag->done_tasks = task->target_next;
    free (task);
  }
}

void
dag_step_clear_tasks (DagStep *step)
{
  for (size_t i = 0; i < step->tasks.count; i++)
    free (step->tasks.items[i]);
  gr_list_clear (&step->tasks);
}
