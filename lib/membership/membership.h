/*
 * The entry instances as this one sees them, after the SWIM protocol: each
 * period one member is pinged, directly and then through two others; one that
 * does not answer is suspect, then gone. News travels on these messages, so
 * the load of an instance does not depend on their number. A suspect that
 * lives refutes with a higher refutation counter.
 */
#ifndef CATK_MEMBERSHIP_H
#define CATK_MEMBERSHIP_H

#include "lib/common/clock.h"
#include "lib/common/counters.h"
#include "lib/common/dump.h"
#include "lib/common/event_log.h"
#include "lib/common/intrusive.h"

/* One ping each; with 5 members a stopped one is gone within 4 s. */
#define MEMBERSHIP_PERIOD (400 * G_TIME_SPAN_MILLISECOND)
/* Wait for the direct answer, far above a round trip between regions. */
#define MEMBERSHIP_PING_TIMEOUT (150 * G_TIME_SPAN_MILLISECOND)
/* Time that a suspect has to refute: four periods. */
#define MEMBERSHIP_SUSPECT_TIMEOUT (4 * MEMBERSHIP_PERIOD)
/* Time between pings of lost seeds and gone members, below the bound of R7. */
#define MEMBERSHIP_REJOIN_INTERVAL (2 * G_TIME_SPAN_SECOND)
/* Longer than regions usually lose contact with each other. */
#define MEMBERSHIP_GONE_RETENTION (15 * G_TIME_SPAN_MINUTE)
/* A longer time between two ticks is a pause of this process. */
#define MEMBERSHIP_PAUSE_THRESHOLD (1 * G_TIME_SPAN_SECOND)
/*
 * In a message. A ping and an ack of about 80 bytes for the sender and each
 * update are 2 KB/s in the worst case, under the 3 KB/s for all control work.
 */
#define MEMBERSHIP_UPDATES_MAX 4
#define MEMBERSHIP_MEMBERS_MAX 1000 /* in the answer to a joining instance */

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
	guint32 refutation; /* raised by the member itself */
	member_state_t state;
	guint64 config_version; /* in force there, as last heard */
} member_t;

typedef struct membership membership_t;

typedef enum {
	MEMBERSHIP_PING,
	MEMBERSHIP_PING_REQUEST, /* ping target for me */
	MEMBERSHIP_ACK
} membership_message_kind_t;

typedef struct {
	membership_message_kind_t kind;
	guint64 sequence; /* of the ping; an ack repeats it */
	member_t sender;
	char target[MEMBER_NAME_MAX + 1]; /* of a ping request */
	gboolean want_members; /* of a ping: the ack shall name all members */
	member_t *updates;
	guint update_count; /* at most MEMBERSHIP_MEMBERS_MAX */
} membership_message_t;

/* Messages are valid during the callback. */
typedef struct {
	void (*send)(void *ctx, const char *peer_address,
		     const membership_message_t *message);
	/* Sends on the connection that a message came from. */
	void (*reply)(void *ctx, guint64 connection,
		      const membership_message_t *message);
	void *ctx;
} membership_actions_t;

/*
 * self and actions are copied; self's state is live. An instance without a peer
 * address sends nothing. Free with membership_free().
 */
membership_t *membership_new(const member_t *self,
			     const membership_actions_t *actions, GRand *random,
			     counters_t *counters);

/* Frees all members. NULL is allowed. */
void membership_free(membership_t *membership);

/* Logs changes of state of the other members from now on. */
void membership_set_log(membership_t *membership, const event_log_t *log);

/* This instance. */
const member_t *membership_self(const membership_t *membership);

/* Adds a peer address to join through. Its own address is ignored. */
void membership_add_seed(membership_t *membership, const char *peer_address);

/* Marks this instance as leaving and tells others at once. */
void membership_leave(membership_t *membership);

/* Records the version in force here and tells others at once. */
void membership_set_config_version(membership_t *membership, guint64 version);

/*
 * Pings a member out of turn, at most once in MEMBERSHIP_PERIOD: what was just
 * sent to it waits on a connection that may be silent, and only the missing
 * answer to a ping shows that. An unknown name is ignored.
 */
void membership_ping_now(membership_t *membership, const char *name,
			 GTimeSpan now);

/* Takes a message; connection is for the answer. */
void membership_receive(membership_t *membership, guint64 connection,
			const membership_message_t *message, GTimeSpan now);

/* Does what is due. To be called at or after membership_next_wakeup(). */
void membership_tick(membership_t *membership, GTimeSpan now);

/* Instant at which membership_tick() has something to do. */
GTimeSpan membership_next_wakeup(const membership_t *membership);

/* The member of that name, in whatever state, or NULL. */
const member_t *membership_find(const membership_t *membership,
				const char *name);

/* Members in order of arrival, this instance first. NULL ends. */
const member_t *membership_first(const membership_t *membership);
const member_t *membership_next(const member_t *member);

void membership_dump(const membership_t *membership,
		     const dump_writer_t *writer);

#endif
