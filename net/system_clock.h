/* Implements the clock interface with the clock of the operating system. */
#ifndef CATK_SYSTEM_CLOCK_H
#define CATK_SYSTEM_CLOCK_H

#include "lib/common/clock.h"

/*
 * CLOCK_BOOTTIME in microseconds. It includes the time that the machine is
 * suspended, so that deadlines and lifetimes expire during a suspension.
 */
extern const catk_clock_t system_clock;

#endif
