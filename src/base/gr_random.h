/* Random numbers for spreading load and for telling processes apart. */
#pragma once

#include <stdint.h>

/* From the system's generator; from the clock if that fails. */
uint64_t gr_random (void);
