/*
 * Retry budget of one entry: retries are at most a percentage of first
 * attempts, so that a failing upstream does not get more load than before.
 */
#ifndef CATK_RETRY_BUDGET_H
#define CATK_RETRY_BUDGET_H

#include <glib.h>

/* Retries that unused credit may add up to, unless set otherwise. */
#define RETRY_BUDGET_CAPACITY_DEFAULT 10

typedef struct {
	guint percent; /* retries per hundred first attempts */
	guint credit; /* in hundredths of a retry */
	guint credit_max; /* in hundredths of a retry */
} retry_budget_t;

/* Starts without credit. percent is 0 to 100. */
void retry_budget_init(retry_budget_t *budget, guint percent);

/* Changes the percentage, 0 to 100, for first attempts from now on. */
void retry_budget_set_percent(retry_budget_t *budget, guint percent);

/* Sets the credit that may add up, in hundredths of a retry, at least 100. */
void retry_budget_set_capacity(retry_budget_t *budget, guint hundredths);

/* A first attempt starts: adds its part of a retry. */
void retry_budget_earn(retry_budget_t *budget);

/* TRUE when a retry of the most urgent calls may start. */
gboolean retry_budget_has_credit(const retry_budget_t *budget);

/*
 * TRUE when a retry of less urgent calls may start: they leave the half of a
 * retry for the most urgent ones, if so much may add up.
 */
gboolean retry_budget_has_unreserved_credit(const retry_budget_t *budget);

/* A retry starts. There must be room. */
void retry_budget_spend(retry_budget_t *budget);

#endif
