/* Checks a text before libconfuse parses it, and finds the line on which each section begins.
   Private to src/cfg. */
#pragma once

#include "base/gr_str.h"

typedef GR_LIST (int64_t) CfgLines;

/* Returns false and sets *line and *detail if the text contains something whose result in
   libconfuse depends on the environment or on earlier texts, or whose line would be wrong: an
   unterminated string, comment, section or list, a string over several lines, a reference to an
   environment variable, or bytes outside quotes that belong neither to a word nor to the syntax.
   Appends the line of each section in file order. Replaces comments by spaces in place, because
   libconfuse counts newlines in comments twice. */
bool cfg_scan (char *text, size_t len, CfgLines *section_lines, int64_t *line, const char **detail);
