/* Random numbers of a seeded generator, so that a test draws the same ones on every machine. */
#pragma once

#include <stdint.h>

/* Draws a number of at least 0 and below 1 from a linear congruential generator. */
static inline double
random_unit (uint64_t *state)
{
  *state = *state * 6364136223846793005U + 1442695040888963407U;
  return (double) (*state >> 11) / (double) (1ULL << 53);
}
