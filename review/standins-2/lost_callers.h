/*
 * Ordinary clients with a kept connection each, and the part of the rule LOST
 * about requests that an endpoint had and that end without an answer.
 */
#ifndef REVIEW_LOST_CALLERS_H
#define REVIEW_LOST_CALLERS_H

#include "world.h"

/* Starts 24 clients of the instance; they send until lost_callers_end(). */
void lost_callers_start(const instance_t *instance);

/* Ends the clients and writes the result; TRUE if the rule was broken. */
bool lost_callers_end(const instance_t *instance);

#endif
