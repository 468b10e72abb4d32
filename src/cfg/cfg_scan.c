#include "cfg/cfg_scan.h"

#include <ctype.h>

typedef struct {
  char *text;
  size_t len;
  size_t at;
  int64_t line;
  const char *detail; /* set at the first error */
} Scan;

static bool
next_is (const Scan *scan, char c)
{
  return scan->at + 1 < scan->len && scan->text[scan->at + 1] == c;
}

static void
skip_line_comment (Scan *scan)
{
  while (scan->at < scan->len && scan->text[scan->at] != '\n')
    scan->text[scan->at++] = ' ';
}

/* Skips one byte of a comment and replaces it by a space; newlines stay. */
static void
blank_byte (Scan *scan)
{
  if (scan->text[scan->at] == '\n')
    scan->line++;
  else
    scan->text[scan->at] = ' ';
  scan->at++;
}

static void
skip_block_comment (Scan *scan)
{
  int64_t first = scan->line;
  bool ended = false;
  blank_byte (scan);
  blank_byte (scan);
  while (scan->at < scan->len && !ended) {
    ended = scan->text[scan->at] == '*' && next_is (scan, '/');
    blank_byte (scan);
  }
  if (ended) {
    blank_byte (scan);
    return;
  }
  scan->line = first;
  scan->detail = "the comment has no end";
}

/* Strings must end on their line: libconfuse reports the last line of a string over several lines,
   and an unterminated string leaves its scanner in a state that affects the next text. */
static void
skip_string (Scan *scan, char quote)
{
  for (scan->at++; scan->at < scan->len; scan->at++) {
    char c = scan->text[scan->at];
    if (c == '\n') {
      break;
    } else if (c == '\\' && scan->at + 1 < scan->len && scan->text[scan->at + 1] != '\n') {
      scan->at++;
    } else if (c == '$' && quote == '"' && next_is (scan, '{')) {
      scan->detail
          = "references to environment variables are not allowed; write '${' in single quotes";
      return;
    } else if (c == quote) {
      scan->at++;
      return;
    }
  }
  scan->detail = "the string does not end on its line";
}

static bool
is_word_byte (char c)
{
  return isalnum ((unsigned char) c) || (c != '\0' && strchr ("._-:@%/", c));
}

/* Skips an unquoted word. Comment markers within a word are refused, because libconfuse treats them
   as a comment or as text depending on what precedes them. */
static void
skip_word (Scan *scan)
{
  for (; scan->at < scan->len && is_word_byte (scan->text[scan->at]); scan->at++) {
    if (scan->text[scan->at] == '/' && (next_is (scan, '/') || next_is (scan, '*'))) {
      scan->detail = "a text with '//' or '/*' needs quotes";
      return;
    }
  }
}

bool
cfg_scan (char *text, size_t len, CfgLines *section_lines, int64_t *line, const char **detail)
{
  Scan scan = { .text = text, .len = len, .line = 1 };
  int64_t depth = 0;
  int64_t start_line = 0; /* of the current top-level statement; 0 between statements */
  int64_t open_line = 0;
  bool assigning = false;
  while (scan.at < len && !scan.detail) {
    char c = text[scan.at];
    if (c == '\n') {
      scan.line++;
      scan.at++;
      continue;
    }
    if (c == ' ' || c == '\t' || c == '\r') {
      text[scan.at++] = ' ';
      continue;
    }
    if (c == '#' || (c == '/' && next_is (&scan, '/'))) {
      skip_line_comment (&scan);
      continue;
    }
    if (c == '/' && next_is (&scan, '*')) {
      skip_block_comment (&scan);
      continue;
    }
    if (depth == 0 && start_line == 0)
      start_line = scan.line;
    if (c == '"' || c == '\'') {
      skip_string (&scan, c);
      if (depth == 0 && assigning) {
        start_line = 0;
        assigning = false;
      }
      continue;
    }
    if (c == '$' && next_is (&scan, '{')) {
      scan.detail = "references to environment variables are not allowed";
    } else if (is_word_byte (c)) {
      skip_word (&scan);
      if (depth == 0 && assigning) {
        start_line = 0;
        assigning = false;
      }
      continue;
    } else if (c == '\0' || !strchr ("{}=+,()", c)) {
      scan.detail = "allowed outside quotes are letters, digits and . _ - : @ % /";
    } else if (c == '=' && depth == 0) {
      assigning = true;
    } else if (c == '{') {
      if (depth == 0 && !assigning)
        gr_list_push (section_lines, start_line);
      if (depth++ == 0)
        open_line = scan.line;
    } else if (c == '}') {
      depth--;
      if (depth <= 0) {
        depth = 0;
        start_line = 0;
        assigning = false;
      }
    }
    scan.at++;
  }
  /* libconfuse treats the end of the text as the end of the section and drops its values. */
  if (depth > 0 && !scan.detail) {
    scan.line = open_line;
    scan.detail = "the section or list has no closing brace";
  }
  *line = scan.line;
  *detail = scan.detail;
  return !scan.detail;
}
