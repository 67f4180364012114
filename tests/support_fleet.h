/*
 * A simulated fleet of entries for tests without a network: messages between
 * instances are encoded, delayed by the bandwidth of links and counted; the
 * metadata store is a revision, endpoints and versions of a configuration.
 */
#ifndef CATK_TEST_SUPPORT_FLEET_H
#define CATK_TEST_SUPPORT_FLEET_H

#include "lib/entry/entry.h"

#define FLEET_INSTANCES_MAX 512
#define FLEET_MESSAGE_KINDS (PEER_QUOTA_ANSWER + 1)
#define FLEET_STEP (20 * G_TIME_SPAN_MILLISECOND) /* also the latency */

typedef struct {
	guint instances; /* at most FLEET_INSTANCES_MAX */
	guint data_centres; /* instance i is in data centre i modulo this */
	guint seeds; /* the first instances, through which all join */
	guint endpoints; /* registered in the store at the start */
	guint64 link_bytes_per_s; /* of each instance, in each direction */
	guint64 parsed_bytes_per_s; /* of a configuration, by each instance */
	GTimeSpan change_bound;
	GTimeSpan reconnect_bound;
	GTimeSpan evacuation_bound; /* 0: evacuations are not read */
	guint entries_max; /* as the instances are told, 0 for 16 */
	gboolean first_start; /* as the instances are told */
	guint32 random_seed;
	schema_t *(*new_schema)(void); /* of each version; NULL: an empty one */
	/* Of routed calls; NULL if the test makes none. */
	void (*on_start)(guint instance, const attempt_request_t *request);
	void (*on_answer)(guint instance, const call_answer_t *answer);
	GTimeSpan quota_window; /* and the others as in entry_limits_t */
	double quota_overage;
	guint quota_slack;
} fleet_options_t;

/* Messages between instances, without the 4 bytes of their length. */
typedef struct {
	guint messages;
	guint64 bytes;
	guint64 crossing_bytes; /* between data centres */
} fleet_traffic_t;

/* Starts all instances at once, without knowledge of each other. */
void fleet_start(const fleet_options_t *options);

/* Frees the fleet. */
void fleet_stop(void);

void fleet_run_for(GTimeSpan time);

/* Stops an instance without a word, or starts it with a new incarnation. */
void fleet_kill(guint index);
void fleet_restart(guint index);

/*
 * Cuts an instance off: what it sends and what is sent to it is lost, and the
 * store does not answer it.
 */
void fleet_silence(guint index, gboolean silent);

/*
 * Puts an instance on a side of a partition, at first 0: instances on different
 * sides lose what they send to each other. The store answers both.
 */
void fleet_set_side(guint index, guint side);

/* Stops the process of an instance, or lets it continue. */
void fleet_pause(guint index, gboolean paused);

/* Time of the fleet's clock. */
GTimeSpan fleet_now(void);

/*
 * Starts an outage of the store, in which calls are left unanswered, or ends
 * it. Calls that were sent before the end are never answered.
 */
void fleet_set_store_down(gboolean down);

/* The store answers no calls of that kind that are sent from now on. */
void fleet_lose_store_calls(feed_kind_t kind);

/* Returns the entry of an instance, NULL while it does not run. */
entry_t *fleet_entry(guint index);

/* Puts a version of the configuration into the store. */
void fleet_publish_config(guint64 version, gsize document_bytes);

/* Adds an endpoint to the store, or removes it. */
void fleet_set_endpoint(guint id, gboolean listed);

/* Starts the evacuation of a data centre in the store, or ends it. */
void fleet_set_evacuated(guint data_centre, gboolean evacuated);

/*
 * Counts the running, not silenced instances that know which data centres are
 * evacuated in the store.
 */
guint fleet_count_evacuations(void);

/* The same for one instance. */
gboolean fleet_knows_evacuations(guint index);

/* Cuts an instance off from the store, or ends that. */
void fleet_cut_from_store(guint index, gboolean cut);

/*
 * Loses the message that is sent as the given number from now on, 1 for the
 * next one; 0 for none. Other kinds are not counted.
 */
void fleet_lose_message(peer_message_kind_t kind, guint number);

/* Counts the running, not silenced instances with at least that version. */
guint fleet_count_version(guint64 version);

/* Counts those that know all endpoints of the store and no others. */
guint fleet_count_complete(void);

/* Number of running instances that are not silenced. */
guint fleet_count_connected(void);

/* Since the last fleet_reset_counts(). */
fleet_traffic_t fleet_traffic(peer_message_kind_t kind);
fleet_traffic_t fleet_total_traffic(void);
guint fleet_store_calls(void);
guint fleet_store_calls_of(feed_kind_t kind);

/* TRUE if the instance has a call of that kind at the store. */
gboolean fleet_reads_store(guint index, feed_kind_t kind);
void fleet_reset_counts(void);

#endif
