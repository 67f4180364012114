#include "lib/admission/moving_rate.h"

static void advance(moving_rate_t *rate, GTimeSpan now)
{
	GTimeSpan age = now - rate->window_start;

	if (age < MOVING_RATE_WINDOW)
		return;
	rate->previous = age < 2 * MOVING_RATE_WINDOW ? rate->current : 0;
	rate->current = 0;
	rate->window_start = now - age % MOVING_RATE_WINDOW;
}

void moving_rate_add(moving_rate_t *rate, GTimeSpan now)
{
	advance(rate, now);
	rate->current++;
}

double moving_rate_per_second(const moving_rate_t *rate, GTimeSpan now)
{
	moving_rate_t copy = *rate;
	double passed;
	double events;

	advance(&copy, now);
	passed = (double)(now - copy.window_start) / MOVING_RATE_WINDOW;
	events = copy.current + copy.previous * (1 - passed);
	return events * G_TIME_SPAN_SECOND / MOVING_RATE_WINDOW;
}
