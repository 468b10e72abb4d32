#include "base/gr_random.h"

#include <openssl/rand.h>
#include <time.h>

/* Spreads the bits of a time over the whole number. */
#define MIXER 0x9E3779B97F4A7C15ULL
#define NS_PER_S 1000000000ULL

uint64_t
gr_random (void)
{
  uint64_t value = 0;
  if (RAND_bytes ((unsigned char *) &value, sizeof value) == 1)
    return value;
  struct timespec now = { 0 };
  clock_gettime (CLOCK_MONOTONIC, &now);
  return ((uint64_t) now.tv_sec * NS_PER_S + (uint64_t) now.tv_nsec) * MIXER;
}
