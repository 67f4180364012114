#include "lib/call/call.h"

static void apply_route(call_t *call, const call_attributes_t *attributes)
{
	const schema_route_t *route = attributes->route;

	call->routed = TRUE;
	call->attempts_max = route->attempts_max;
	call->caller_retried = attributes->elapsed > 0;
	call->needs_key = !route->is_public;
	if (route->objective > 0)
		call->objective =
			call->admitted + route->objective - attributes->elapsed;
}

static void apply_organisation(call_t *call, const organisation_t *organisation)
{
	call_set_organisation(call, organisation->name);
	if (organisation->priority != ORGANISATION_NO_PRIORITY)
		call->queue.priority = (guint)organisation->priority;
	call->queue.has_share = TRUE;
	call->queue.share_weight = organisation->rate;
}

call_t *call_new(const call_attributes_t *attributes)
{
	call_t *call = g_new0(call_t, 1);

	call->service = g_strdup(attributes->service);
	call->method = g_strdup(attributes->method->name);
	call->caller = g_strdup(attributes->caller);
	call->log_name =
		g_strdup(attributes->log_name ? attributes->log_name : "");
	call->body = g_bytes_ref(attributes->body);
	call->admitted = attributes->admitted;
	call->deadline = attributes->deadline;
	call->idempotent = attributes->method->idempotent;
	call->caller_attempt = attributes->caller_attempt;
	call->queue.priority = attributes->method->priority;
	call->queue.deadline = attributes->deadline;
	call->queue.caller = call->caller;
	call->credential = g_strdup(attributes->credential);
	if (attributes->route)
		apply_route(call, attributes);
	if (attributes->organisation)
		apply_organisation(call, attributes->organisation);
	TAILQ_INIT(&call->attempts);
	TAILQ_INIT(&call->ended_attempts);
	TAILQ_INIT(&call->waiters);
	return call;
}

void call_set_organisation(call_t *call, const char *name)
{
	if (g_strcmp0(call->organisation, name) == 0)
		return;
	g_free(call->organisation);
	call->organisation = g_strdup(name);
}

static void free_attempts(struct attempt_list *attempts)
{
	attempt_t *attempt, *next;

	TAILQ_FOREACH_SAFE (attempt, attempts, link, next)
		g_free(attempt);
}

static void waiter_free(call_t *call, call_waiter_t *waiter)
{
	TAILQ_REMOVE(&call->waiters, waiter, link);
	g_free(waiter);
}

void call_free(call_t *call)
{
	g_assert(!call->queue.lane && !call->load_probes.active &&
		 !call->quota.limit);
	free_attempts(&call->attempts);
	free_attempts(&call->ended_attempts);
	while (!TAILQ_EMPTY(&call->waiters))
		waiter_free(call, TAILQ_FIRST(&call->waiters));
	g_bytes_unref(call->body);
	g_free(call->service);
	g_free(call->method);
	g_free(call->caller);
	g_free(call->credential);
	g_free(call->organisation);
	g_free(call->log_name);
	g_free(call);
}

void call_add_waiter(call_t *call, void *caller_ref)
{
	call_waiter_t *waiter = g_new0(call_waiter_t, 1);

	waiter->caller_ref = caller_ref;
	TAILQ_INSERT_TAIL(&call->waiters, waiter, link);
}

gboolean call_remove_waiter(call_t *call, const void *caller_ref)
{
	call_waiter_t *waiter;

	TAILQ_FOREACH (waiter, &call->waiters, link)
		if (waiter->caller_ref == caller_ref) {
			waiter_free(call, waiter);
			return TRUE;
		}
	return FALSE;
}

static gboolean includes_address(const struct attempt_list *attempts,
				 const char *address)
{
	const attempt_t *attempt;

	TAILQ_FOREACH (attempt, attempts, link)
		if (strcmp(attempt->address, address) == 0)
			return TRUE;
	return FALSE;
}

attempt_t *call_start_attempt(call_t *call, guint64 id, const char *endpoint,
			      const char *address, GTimeSpan now)
{
	attempt_t *attempt = g_new0(attempt_t, 1);

	attempt->id = id;
	attempt->started = now;
	attempt->needs_new_connection =
		includes_address(&call->attempts, address) ||
		includes_address(&call->ended_attempts, address);
	g_strlcpy(attempt->endpoint, endpoint, sizeof(attempt->endpoint));
	g_strlcpy(attempt->address, address, sizeof(attempt->address));
	g_strlcpy(call->last_endpoint, endpoint, sizeof(call->last_endpoint));
	TAILQ_INSERT_TAIL(&call->attempts, attempt, link);
	call->attempts_started++;
	return attempt;
}

attempt_t *call_find_attempt(const call_t *call, guint64 id)
{
	attempt_t *attempt;

	TAILQ_FOREACH (attempt, &call->attempts, link)
		if (attempt->id == id)
			return attempt;
	return NULL;
}

guint call_attempts_counted(const call_t *call)
{
	return call->attempts_started - call->attempts_uncounted;
}

static gboolean may_retry_at_most_once(void *ctx, const call_t *call)
{
	(void)ctx;
	return call->idempotent || !call->may_have_run;
}

static outcome_t outcome_at_most_once(void *ctx, const call_t *call)
{
	(void)ctx;
	if (TAILQ_EMPTY(&call->attempts) && !call->may_have_run)
		return OUTCOME_NOT_RUN;
	return OUTCOME_UNKNOWN;
}

const retry_rule_t retry_rule_at_most_once = {
	.may_retry = may_retry_at_most_once,
	.outcome = outcome_at_most_once,
	.records_request_ids = TRUE,
};

call_step_t call_end_attempt(call_t *call, const retry_rule_t *rule,
			     attempt_t *attempt, attempt_end_t end,
			     gboolean retry_allowed, GTimeSpan now)
{
	TAILQ_REMOVE(&call->attempts, attempt, link);
	TAILQ_INSERT_TAIL(&call->ended_attempts, attempt, link);
	if (end == ATTEMPT_ANSWERED)
		return CALL_RAN;
	if (!attempt_end_proves_not_run(end))
		call->may_have_run = TRUE;
	if (!TAILQ_EMPTY(&call->attempts))
		return CALL_WAIT;
	if (retry_allowed && now < call->deadline &&
	    rule->may_retry(rule->ctx, call))
		return CALL_RETRY;
	return rule->outcome(rule->ctx, call) == OUTCOME_NOT_RUN ?
		       CALL_NOT_RUN :
		       CALL_UNKNOWN;
}
