/* Hash tables of uthash whose entries the table owns. Not installed, since uthash is not part of
   the public interface. */
#pragma once

#include <uthash.h>

/* Empties the table and passes each entry to free_item, which takes a pointer to it. */
#define gr_hash_clear(head, free_item)                                                             \
  do {                                                                                             \
    __typeof__ (head) gr_item = (head);                                                            \
    HASH_CLEAR (hh, (head));                                                                       \
    while (gr_item) {                                                                              \
      __typeof__ (head) gr_next = gr_item->hh.next;                                                \
      free_item (gr_item);                                                                         \
      gr_item = gr_next;                                                                           \
    }                                                                                              \
  } while (0)
