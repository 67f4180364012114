/*
 * The entry instances as this one sees them.
 */
#ifndef CATK_MEMBERSHIP_H
#define CATK_MEMBERSHIP_H

#include "lib/common/clock.h"
#include "lib/common/counters.h"
#include "lib/common/dump.h"
#include "lib/common/intrusive.h"

#define MEMBER_NAME_MAX 64 /* bytes of an instance name */
#define MEMBER_ADDRESS_MAX 64 /* bytes of "ip:port" */

typedef enum {
	MEMBER_LIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING,
	MEMBER_GONE
} member_state_t;

/* "live", "suspect", "leaving" or "gone". */
const char *member_state_name(member_state_t state);

typedef struct member {
	TAILQ_ENTRY(member) link;
	char name[MEMBER_NAME_MAX + 1];
	char data_centre[MEMBER_NAME_MAX + 1];
	char caller_address[MEMBER_ADDRESS_MAX + 1];
	char peer_address[MEMBER_ADDRESS_MAX + 1];
	guint64 incarnation; /* a later start has a higher one */
	member_state_t state;
	guint64 config_version; /* in force there, as last heard */
} member_t;

typedef struct membership membership_t;

/* self is copied; its state is live. Free with membership_free(). */
membership_t *membership_new(const member_t *self, counters_t *counters);

/* Frees all members. NULL is allowed. */
void membership_free(membership_t *membership);

/* This instance. */
const member_t *membership_self(const membership_t *membership);

/* Marks this instance as leaving. */
void membership_leave(membership_t *membership);

/* The member of that name, in whatever state, or NULL. */
const member_t *membership_find(const membership_t *membership,
				const char *name);

/* Members in order of arrival, this instance first. NULL ends. */
const member_t *membership_first(const membership_t *membership);
const member_t *membership_next(const member_t *member);

void membership_dump(const membership_t *membership,
		     const dump_writer_t *writer);

#endif
