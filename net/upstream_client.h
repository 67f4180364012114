/* The HTTP client for upstreams: sends attempts, cancellations and probes. */
#ifndef CATK_UPSTREAM_CLIENT_H
#define CATK_UPSTREAM_CLIENT_H

#include "lib/entry/entry.h"

typedef struct {
	void (*attempt_ended)(void *ctx, const attempt_result_t *result);
	/* report is NULL when the probe failed or its response has none. */
	void (*probe_ended)(void *ctx, const char *service, const char *address,
			    const load_report_t *report);
	void *ctx;
} upstream_client_events_t;

typedef struct upstream_client upstream_client_t;

/*
 * instance is the name of this entry in the attempt ids that upstreams see;
 * response_bytes_max limits the body of a response. Free with
 * upstream_client_free().
 */
upstream_client_t *upstream_client_new(const upstream_client_events_t *events,
				       const char *instance,
				       gsize response_bytes_max);

/* Aborts requests in flight without callbacks. NULL is allowed. */
void upstream_client_free(upstream_client_t *client);

/* Implementations of entry_actions_t. */
void upstream_client_start_attempt(upstream_client_t *client,
				   const attempt_request_t *request);
void upstream_client_cancel_attempt(upstream_client_t *client,
				    guint64 attempt_id);
void upstream_client_send_probe(upstream_client_t *client, const char *service,
				const char *address);

#endif
