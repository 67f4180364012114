/*
 * A simulated fleet with endpoints and callers, for tests of the placing of
 * requests without a network. The entries are real; endpoints have slots and a
 * queue, are slowed down at times, and lose what they cannot queue.
 */
#ifndef CATK_TEST_SUPPORT_PLACING_H
#define CATK_TEST_SUPPORT_PLACING_H

#include "lib/entry/entry.h"

#define PLACING_DATA_CENTRES_MAX 4
#define PLACING_SERVICES_MAX 4

/* A service with one route. */
typedef struct {
	guint endpoints;
	double rate; /* requests per second of the whole fleet */
	gboolean idempotent;
	GTimeSpan service_time;
	GTimeSpan objective;
	GTimeSpan deadline;
	guint priority; /* 0 or 1 */
} placing_service_t;

typedef struct {
	guint data_centres;
	guint instances; /* instance i is in data centre i modulo data_centres */
	guint service_count;
	placing_service_t services[PLACING_SERVICES_MAX];
	guint slots;
	guint queue;
	guint caller_retries;
	/* Each endpoint is slowed for a third of the time. */
	guint slowdown_factor; /* 1 for none */
	/*
	 * Load of a data centre at an instant, relative to its share in the
	 * rate. NULL for 1.
	 */
	double (*load)(guint data_centre, GTimeSpan since_start);
	guint preferred_instances;
	guint crossing_price_percent;
	guint32 seed;
} placing_options_t;

/* Counts since the last placing_reset(). */
typedef struct {
	guint requests; /* of callers, without their retries */
	guint in_time;
	guint late;
	guint refused; /* after the last retry of the caller */
	guint lost; /* outcome unknown or deadline passed */
	guint attempts;
	guint full; /* attempts that met a full endpoint */
	guint queued_needlessly; /* while another near endpoint was free */
	guint crossings; /* attempts at another data centre's endpoint */
	guint evacuated_attempts; /* at an endpoint of an evacuated one */
	guint connections; /* opened by attempts and probes */
	guint probes;
	double endpoints_per_instance; /* used by attempts, mean */
	double work; /* service time of answers in time or late, in seconds */
} placing_result_t;

/* Starts the fleet; the members know each other. */
void placing_start(const placing_options_t *options);

void placing_stop(void);

void placing_run_for(GTimeSpan time);

/* Ends all instances and endpoints there; its callers go elsewhere. */
void placing_kill_data_centre(guint data_centre);

/* Evacuates the data centre, or ends that. */
void placing_set_evacuated(guint data_centre, gboolean evacuated);

void placing_reset(void);
placing_result_t placing_result(void);

/* Attempts from a data centre to others since the last placing_reset(). */
guint placing_crossings_from(guint data_centre);

void placing_print(const char *title);

#endif
