/*
 * A rule of retries and outcomes that is wrong on purpose: it repeats a call
 * after any failure, promises not_run without proof and keeps no record of the
 * request id. The failure tests must find its faults.
 */
#include "lib/call/call.h"

extern const retry_rule_t retry_rule_naive;

static gboolean repeat_always(void *ctx, const call_t *call)
{
	(void)ctx;
	(void)call;
	return TRUE;
}

static outcome_t promise_not_run(void *ctx, const call_t *call)
{
	(void)ctx;
	(void)call;
	return OUTCOME_NOT_RUN;
}

const retry_rule_t retry_rule_naive = {
	.may_retry = repeat_always,
	.outcome = promise_not_run,
	.records_request_ids = FALSE,
};
