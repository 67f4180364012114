/*
 * Ordinary clients with a kept connection each, and the part of the rule CONFIG
 * that asks for an answer soon after the timeout of the route.
 */
#ifndef REVIEW_CALLERS_H
#define REVIEW_CALLERS_H

#include "world.h"

/* Starts 12 clients of the instance; they send until callers_end(). */
void callers_start(const instance_t *instance);

/*
 * Waits until the end, in ms since the start, and asks the readiness check of
 * the instance meanwhile; returns the longest time without its answer, in ms.
 */
double watch_readiness(const instance_t *instance, double end_ms);

/* Ends the clients and writes the result; TRUE if the rule was broken. */
bool callers_end(double silence_ms);

#endif
