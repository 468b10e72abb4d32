/* Length-counted strings: borrowed views, fixed-capacity names and growable buffers. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#ifdef __cplusplus
extern "C" {
#endif

/* View of bytes that the struct does not own and that must outlive it. Not terminated by zero. */
typedef struct {
  const char *data;
  size_t len;
} GrStr;

#define GR_STR(literal) ((GrStr){ (literal), sizeof (literal) - 1 })
/* Arguments for the "%.*s" conversion. */
#define GR_STR_ARG(s) ((int) (s).len), ((s).data ? (s).data : "")

/* Maximum length in bytes of a name: the id of a VM, key, team, kind, job or task. */
#define GR_NAME_MAX 63

/* A short string by value. It needs no release and can be copied with '='. */
typedef struct {
  uint8_t len;
  char data[GR_NAME_MAX];
} GrName;

#define GR_NAME_ARG(n) ((int) (n).len), ((n).data)

/* text may be NULL, which gives an empty view. */
GrStr gr_str_from_c (const char *text);
bool gr_str_equal (GrStr a, GrStr b);
bool gr_str_starts_with (GrStr s, GrStr prefix);
/* Order of the bytes as unsigned values; a prefix comes first. */
int gr_str_compare (GrStr a, GrStr b);
/* Parses a whole decimal string; false if it is empty, malformed or out of range. */
bool gr_str_to_int64 (GrStr s, int64_t *value);

/* False, leaving *name empty, if the string does not fit into GR_NAME_MAX bytes. */
bool gr_name_set (GrName *name, GrStr s) __attribute__ ((warn_unused_result));
/* Name from the first GR_NAME_MAX bytes, for text that is known to fit or is only shown. */
GrName gr_name_cut (GrStr s);
/* Name from a C string that is known to fit; longer text is truncated. The same holds for
   gr_name_format(). */
GrName gr_name (const char *text);
GrName gr_name_format (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
GrStr gr_name_str (const GrName *name);
bool gr_name_equal (const GrName *a, const GrName *b);
int gr_name_compare (const GrName *a, const GrName *b);
/* xxh64 of the bytes with the given seed. */
uint64_t gr_name_hash (const GrName *name, uint64_t seed);

/* Growable byte buffer, empty if zero-initialised. data is NULL until the first append and then
   terminated by a zero byte that is not counted. */
typedef struct {
  char *data;
  size_t len;
  size_t capacity;
} GrBuf;

void gr_buf_append (GrBuf *buf, const void *data, size_t len);
void gr_buf_append_str (GrBuf *buf, GrStr s);
void gr_buf_printf (GrBuf *buf, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
/* Removes the first len bytes, or all if there are fewer. */
void gr_buf_consume (GrBuf *buf, size_t len);
/* View of the contents, valid until the buffer changes. */
GrStr gr_buf_str (const GrBuf *buf);
/* Releases the memory and leaves an empty buffer. */
void gr_buf_clear (GrBuf *buf);

/* Copies bytes to the heap with a terminating zero; release with free(). */
char *gr_str_dup (GrStr s);

/* Like calloc() and realloc(), but abort the process if memory is exhausted. */
void *gr_calloc (size_t count, size_t size);
void *gr_realloc (void *ptr, size_t size);

/* Typed growable list, empty if zero-initialised:
   GR_LIST (Type) items; gr_list_push (&items, value). */
#define GR_LIST(Type)                                                                              \
  struct {                                                                                         \
    Type *items;                                                                                   \
    size_t count;                                                                                  \
    size_t capacity;                                                                               \
  }

#define gr_list_push(list, ...)                                                                    \
  do {                                                                                             \
    if ((list)->count == (list)->capacity) {                                                       \
      (list)->capacity = (list)->capacity ? (list)->capacity * 2 : 8;                              \
      (list)->items = gr_realloc_items ((list)->items, (list)->capacity, sizeof *(list)->items);   \
    }                                                                                              \
    (list)->items[(list)->count++] = (__VA_ARGS__);                                                \
  } while (0)

/* Removes all items but keeps the memory. */
#define gr_list_reset(list) ((list)->count = 0)

/* Releases the memory and leaves an empty list. */
#define gr_list_clear(list)                                                                        \
  do {                                                                                             \
    free ((list)->items);                                                                          \
    memset ((list), 0, sizeof *(list));                                                            \
  } while (0)

/* Removes item i by moving the last item into its place, without keeping the order. */
#define gr_list_swap_remove(list, i) ((list)->items[(i)] = (list)->items[--(list)->count])

/* For gr_list_push(): resizes an array to count items of size bytes. */
void *gr_realloc_items (void *items, size_t count, size_t size);

#ifdef __cplusplus
}
#endif
