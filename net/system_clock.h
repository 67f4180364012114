/* The clock of the operating system behind the clock interface. */
#ifndef CATK_SYSTEM_CLOCK_H
#define CATK_SYSTEM_CLOCK_H

#include "lib/common/clock.h"

/*
 * Microseconds of CLOCK_BOOTTIME, which goes on while the machine is
 * suspended, so that deadlines and expiries pass during a suspension.
 */
extern const catk_clock_t system_clock;

#endif
