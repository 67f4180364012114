/*
 * Retry budget of one entry, a token bucket that first attempts fill: limits
 * retries to a percentage of first attempts, so that retries do not amplify the
 * load on a failing upstream.
 */
#ifndef CATK_RETRY_BUDGET_H
#define CATK_RETRY_BUDGET_H

#include <glib.h>

/* Default capacity, in retries. */
#define RETRY_BUDGET_CAPACITY_DEFAULT 10

typedef struct {
	guint percent; /* retries per hundred first attempts */
	guint tokens; /* a retry takes 100 */
	guint capacity; /* upper bound of tokens */
} retry_budget_t;

/* Initialises a budget without tokens. percent is 0 to 100. */
void retry_budget_init(retry_budget_t *budget, guint percent);

/* Sets the percentage, 0 to 100, for future first attempts. */
void retry_budget_set_percent(retry_budget_t *budget, guint percent);

/* Sets the capacity in tokens; values below 100, one retry, count as 100. */
void retry_budget_set_capacity(retry_budget_t *budget, guint tokens);

/* Adds percent tokens for a first attempt. */
void retry_budget_fill(retry_budget_t *budget);

/* Returns TRUE if a retry of the most urgent priority may start. */
gboolean retry_budget_has_tokens(const retry_budget_t *budget);

/*
 * Returns TRUE if a retry of another priority may start. These leave a reserve
 * of half a retry for the most urgent priority, as far as the capacity allows.
 */
gboolean retry_budget_has_unreserved_tokens(const retry_budget_t *budget);

/* Takes the tokens of a retry, which must be available. */
void retry_budget_take(retry_budget_t *budget);

#endif
