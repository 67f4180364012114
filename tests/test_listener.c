/*
 * Tests the limits of listeners: neither may all together take the descriptors
 * that endpoints, the store and peers need, nor may refusals go unrecorded or
 * fill the log.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/admission/listener.h"

typedef struct {
	guint events;
	gint64 refused; /* of the last event */
	gint64 replaced;
} record_t;

static void record_event(void *ctx, const char *event,
			 const log_field_t *fields, guint count)
{
	record_t *record = ctx;
	guint i;

	record->events++;
	assert_true(event[0]);
	for (i = 0; i < count; i++) {
		if (g_str_equal(fields[i].name, "refused"))
			record->refused = fields[i].number;
		if (g_str_equal(fields[i].name, "replaced"))
			record->replaced = fields[i].number;
	}
}

/* Fails if listeners together leave no descriptors for other connections. */
static void listeners_leave_descriptors_free(void **state)
{
	static const guint64 limits[] = { 256, 1024, 2870, 8192, 1048576 };
	gsize i;
	int id;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(limits); i++) {
		guint64 sum = 0;

		for (id = 0; id < LISTENER_COUNT; id++)
			sum += listener_connections_max((listener_id_t)id,
							limits[i]);
		assert_true(sum <= limits[i] * 3 / 4);
	}
}

/* Fails if the smallest instance cannot take what its fleet brings. */
static void smallest_instance_takes_its_clients(void **state)
{
	(void)state;
	/* A sudden arrival of 500 clients; two connections of 204 instances. */
	assert_true(listener_connections_max(LISTENER_PROXY, 2870) >= 1000);
	assert_true(listener_connections_max(LISTENER_PEERS, 2870) >= 408);
	/* Any limit leaves some, and one without a bound fits the type. */
	assert_true(listener_connections_max(LISTENER_READINESS, 16) > 0);
	assert_true(listener_connections_max(LISTENER_PROXY, G_MAXUINT64) > 0);
}

/* Fails if a refusal is not counted, or each one writes a line. */
static void refusals_are_counted_and_logged_once_a_second(void **state)
{
	record_t record = { 0 };
	const event_log_t log = { .write = record_event, .ctx = &record };
	counters_t counters = { 0 };
	body_budget_t bodies;
	listener_t listener;
	guint i;

	(void)state;
	body_budget_init(&bodies, 1000);
	listener_init(&listener, LISTENER_DIRECTORY, 1000, &bodies, &counters,
		      &log);
	for (i = 0; i < 5; i++)
		listener_connection_limited(&listener, i % 2 == 0,
					    G_TIME_SPAN_SECOND);
	assert_int_equal(record.events, 1);
	listener_connection_limited(&listener, FALSE, 2 * G_TIME_SPAN_SECOND);
	assert_int_equal(record.events, 2);
	assert_int_equal(record.refused, 3);
	assert_int_equal(record.replaced, 2);
	assert_int_equal(counters.value[COUNTER_CONNECTIONS_REFUSED_DIRECTORY],
			 3);
	assert_int_equal(counters.value[COUNTER_CONNECTIONS_REPLACED_DIRECTORY],
			 3);
	listener_body_refused(&listener, 7);
	assert_int_equal(counters.value[COUNTER_BODIES_REFUSED], 1);
	assert_int_equal(counters.value[COUNTER_BODIES_REFUSED_DIRECTORY], 1);
	assert_int_equal(record.events, 3);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(listeners_leave_descriptors_free),
		cmocka_unit_test(smallest_instance_takes_its_clients),
		cmocka_unit_test(refusals_are_counted_and_logged_once_a_second),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
