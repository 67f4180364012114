/*
 * A retry rule that violates at-most-once execution on purpose: it retries a
 * call after any failure, reports not_run without proof and keeps no records of
 * request ids. The failure tests must detect these violations.
 */
#include "lib/call/call.h"

extern const retry_rule_t retry_rule_naive;

static gboolean retry_always(void *ctx, const call_t *call)
{
	(void)ctx;
	(void)call;
	return TRUE;
}

static outcome_t report_not_run(void *ctx, const call_t *call)
{
	(void)ctx;
	(void)call;
	return OUTCOME_NOT_RUN;
}

const retry_rule_t retry_rule_naive = {
	.may_retry = retry_always,
	.outcome = report_not_run,
	.records_request_ids = FALSE,
};
