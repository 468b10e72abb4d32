/* Parts of gr-hostile. */
#pragma once

/* Hands in jobs and other whole requests, see jobs.c. Arguments: PORTS CASE CLIENTS EACH [FILE]. */
int hostile_jobs_main (int argc, char **argv);
/* Waits until the jobs of a file have ended. Arguments: PORTS over FILE. */
int hostile_over_main (int argc, char **argv);
