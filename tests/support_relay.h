/*
 * TCP relays that simulate network partitions. They run in the main loop of the
 * test. Processes are assigned to sides; during a partition, data between
 * different sides is held back while the connections stay open.
 */
#ifndef CATK_TEST_SUPPORT_RELAY_H
#define CATK_TEST_SUPPORT_RELAY_H

#include "tests/support.h"

/* Assigns a process, and the connections that it opens, to a side. */
void relay_add_process(const process_t *process, guint side);

/*
 * Relays connections to 127.0.0.1:port to the target port, whose process is on
 * the given side.
 */
void relay_start(guint port, guint target, guint side);

/*
 * Starts or ends a partition between all sides. Data sent during the partition
 * is delivered after it, as by TCP retransmission. Connections opened during it
 * are accepted and carry no data until then.
 */
void relay_set_partition(gboolean partitioned);

/* Number of connection directions that hold back data. */
guint relay_blocked_directions(void);

#endif
