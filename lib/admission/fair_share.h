/*
 * Fair sharing of a service's capacity among organisations, in one instance.
 *
 * Load: 141 instances receive 6 requests/s each, so the queue of an instance
 * holds one request or none, and its order cannot protect anyone. A shortage
 * shows as requests that find no endpoint with capacity, whoever sent them. This
 * module counts what each organisation asks for and what the service takes, and
 * refuses in advance what exceeds an organisation's share (max-min fairness,
 * weighted by the organisations' rates). Without a shortage it refuses nothing.
 */
#ifndef CATK_FAIR_SHARE_H
#define CATK_FAIR_SHARE_H

#include <glib.h>

typedef struct fair_share fair_share_t;

/* Creates the state of one service. Free with fair_share_free(). */
fair_share_t *fair_share_new(void);

/* NULL is allowed. */
void fair_share_free(fair_share_t *share);

/*
 * Records a request of an organisation and returns FALSE if it is to be refused
 * because it exceeds the organisation's share of a capacity that is short.
 * weight is the organisation's share relative to others, at least 0; 0 stands
 * for the mean weight of those that have one. The name is copied.
 */
gboolean fair_share_admit(fair_share_t *share, const char *organisation,
			  double weight, GTimeSpan now);

/* Records that an admitted request was started. */
void fair_share_started(fair_share_t *share, GTimeSpan now);

/* Records that an admitted request was refused for lack of capacity. */
void fair_share_no_capacity(fair_share_t *share, GTimeSpan now);

/*
 * Part of the requests of the recent past that was started, from 0 to 1; 1
 * while there is no shortage.
 */
double fair_share_served(const fair_share_t *share);

/* Organisations that have sent requests recently. */
guint fair_share_organisations(const fair_share_t *share);

#endif
