/* Checks a text before libconfuse reads it, and finds the line on which each section begins. */
#pragma once

#include "base/gr_str.h"

typedef GR_LIST (int64_t) CfgLines;

/* False if the text holds something that libconfuse would not read the same way everywhere:
   an unterminated string or comment, a string over several lines, an environment reference, or
   bytes outside quotes that are neither words nor signs of the syntax. *line and *detail tell where
   and what. Section starts are appended in file order. Comments are blanked in place: libconfuse
   counts their line ends twice. */
bool cfg_scan (char *text, size_t len, CfgLines *section_lines, int64_t *line, const char **detail);
