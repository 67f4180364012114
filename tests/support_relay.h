/*
 * TCP relays in the test's own main loop, for network partitions: a cut stops
 * the bytes between two sides and keeps the connections open.
 */
#ifndef CATK_TEST_SUPPORT_RELAY_H
#define CATK_TEST_SUPPORT_RELAY_H

#include "tests/support.h"

/* Names the side of a process, so that its connections are recognised. */
void relay_add_process(const process_t *process, guint side);

/* Passes connections to 127.0.0.1:port on to the target port of a side. */
void relay_start(guint port, guint target, guint side);

/*
 * Starts or ends a cut between all sides. Bytes sent during a cut arrive after
 * it, as with a retransmission. New connections hang until then.
 */
void relay_set_partition(gboolean cut);

/* Directions of connections that hold back bytes. */
guint relay_blocked_directions(void);

#endif
