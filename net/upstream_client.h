/* The HTTP client towards upstreams: attempts, cancellations and probes. */
#ifndef CATK_UPSTREAM_CLIENT_H
#define CATK_UPSTREAM_CLIENT_H

#include "lib/entry/entry.h"

typedef struct {
	void (*attempt_ended)(void *ctx, const attempt_result_t *result);
	void (*probe_ended)(void *ctx, const char *service, const char *address,
			    const load_report_t *report);
	void *ctx;
} upstream_client_events_t;

typedef struct upstream_client upstream_client_t;

/*
 * instance names this entry to upstreams; answer_bytes_max bounds the body of
 * an answer. Free with upstream_client_free().
 */
upstream_client_t *upstream_client_new(const upstream_client_events_t *events,
				       const char *instance,
				       gsize answer_bytes_max);

/* Drops everything in flight without events. NULL is allowed. */
void upstream_client_free(upstream_client_t *client);

/* The actions of entry_actions_t. */
void upstream_client_start_attempt(upstream_client_t *client,
				   const attempt_request_t *request);
void upstream_client_cancel_attempt(upstream_client_t *client,
				    guint64 attempt_id);
void upstream_client_send_probe(upstream_client_t *client, const char *service,
				const char *address);

#endif
