/*
 * This instance's view of the entry instances, maintained by the SWIM protocol.
 * Each period one member is pinged, directly and then indirectly through two
 * others. A member that does not answer becomes suspect, then gone. Updates are
 * piggybacked on these messages, so the load of an instance does not depend on
 * the number of members. A live member that is suspected refutes this with a
 * higher refutation counter.
 */
#ifndef CATK_MEMBERSHIP_H
#define CATK_MEMBERSHIP_H

#include "lib/common/clock.h"
#include "lib/common/counters.h"
#include "lib/common/dump.h"
#include "lib/common/event_log.h"
#include "lib/common/intrusive.h"
#include "lib/membership/news_delay.h"

/* One ping per period. With 5 members a stopped one is gone within 4 s. */
#define MEMBERSHIP_PERIOD (400 * G_TIME_SPAN_MILLISECOND)
/* Timeout of a direct ping, far above a round trip between regions. */
#define MEMBERSHIP_PING_TIMEOUT (150 * G_TIME_SPAN_MILLISECOND)
/* Time that a suspect has to refute before it is declared gone. */
#define MEMBERSHIP_SUSPECT_TIMEOUT (4 * MEMBERSHIP_PERIOD)
/*
 * Time between pings to unreachable seeds and gone members. It must stay below
 * the 6 s within which a new configuration must be in force at every instance.
 */
#define MEMBERSHIP_REJOIN_INTERVAL (2 * G_TIME_SPAN_SECOND)
/*
 * Time that gone members are kept and pinged to end a partition, longer than
 * usual partitions between regions.
 */
#define MEMBERSHIP_GONE_RETENTION (15 * G_TIME_SPAN_MINUTE)
/* A longer time between two ticks means that this process was paused. */
#define MEMBERSHIP_PAUSE_THRESHOLD (1 * G_TIME_SPAN_SECOND)
/*
 * Usual updates on a message. A ping and an ack take about 80 bytes for
 * the sender and for each update. That is 2 KB/s in the worst case, below the
 * limit of 3 KB/s for all control traffic.
 */
#define MEMBERSHIP_UPDATES_MAX 4
/*
 * The same while more news than this waits. Suspicions and their refutations
 * share it: if refutations were slower, live members would be taken for gone.
 */
#define MEMBERSHIP_UPDATES_BACKLOG 16
/*
 * The same for members that are leaving or have left, to which callers must not
 * be sent. Each update is sent a limited number of times, so a burst ends.
 */
#define MEMBERSHIP_UPDATES_BURST 64
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
	guint64 incarnation; /* higher after each restart */
	guint32 refutation; /* incremented by the member itself */
	member_state_t state;
	guint64 config_version; /* in force there, as last reported */
	/*
	 * In messages, of a member that is leaving or gone: the time since it
	 * entered that state, 0 if unknown.
	 */
	GTimeSpan state_age;
} member_t;

typedef struct membership membership_t;

typedef enum {
	MEMBERSHIP_PING,
	MEMBERSHIP_PING_REQUEST, /* asks the receiver to ping target */
	MEMBERSHIP_ACK
} membership_message_kind_t;

typedef struct {
	membership_message_kind_t kind;
	guint64 sequence; /* of the ping; an ack carries the same number */
	member_t sender;
	char target[MEMBER_NAME_MAX + 1]; /* of a ping request */
	gboolean want_members; /* of a ping: the ack must list all members */
	member_t *updates;
	guint update_count; /* at most MEMBERSHIP_MEMBERS_MAX */
} membership_message_t;

/* Messages are valid only during the callback. */
typedef struct {
	void (*send)(void *ctx, const char *peer_address,
		     const membership_message_t *message);
	/* Sends on the connection on which a message was received. */
	void (*reply)(void *ctx, guint64 connection,
		      const membership_message_t *message);
	void *ctx;
} membership_actions_t;

/*
 * Copies self and actions; self starts in state live. An instance without a
 * peer address sends nothing. Free with membership_free().
 */
membership_t *membership_new(const member_t *self,
			     const membership_actions_t *actions, GRand *random,
			     counters_t *counters);

/* Frees all members. NULL is allowed. */
void membership_free(membership_t *membership);

/*
 * Returns how long after the fact this instance learnt that other members were
 * leaving (MEMBER_LEAVING) or found gone (MEMBER_GONE).
 */
const news_delay_t *membership_news_delay(const membership_t *membership,
					  member_state_t state);

/* Sets the log for state changes of the other members. */
void membership_set_log(membership_t *membership, const event_log_t *log);

/* Returns the member that is this instance. */
const member_t *membership_self(const membership_t *membership);

/* Adds a peer address to join through. Ignores this instance's own address. */
void membership_add_seed(membership_t *membership, const char *peer_address);

/*
 * Marks this instance as leaving. The next ticks ping all other members, and
 * those that have not acknowledged again, so that none names it to callers.
 */
void membership_leave(membership_t *membership);

/* Sets the version in force and pings other members to announce it. */
void membership_set_config_version(membership_t *membership, guint64 version);

/*
 * Pings a member out of turn, at most once per MEMBERSHIP_PERIOD. Used after
 * sending it other messages: if its connection is dead without being closed,
 * only an unanswered ping reveals that. Ignores unknown names.
 */
void membership_ping_now(membership_t *membership, const char *name,
			 GTimeSpan now);

/* Handles a message; a reply goes to connection. */
void membership_receive(membership_t *membership, guint64 connection,
			const membership_message_t *message, GTimeSpan now);

/* Runs due timers. Call it at or after membership_next_wakeup(). */
void membership_tick(membership_t *membership, GTimeSpan now);

/* Returns the next time at which membership_tick() has work to do. */
GTimeSpan membership_next_wakeup(const membership_t *membership);

/* Returns the member with that name in any state, or NULL. */
const member_t *membership_find(const membership_t *membership,
				const char *name);

/*
 * Iterates over the members in the order in which they were added, starting
 * with this instance. Returns NULL at the end.
 */
const member_t *membership_first(const membership_t *membership);
const member_t *membership_next(const member_t *member);

/* Writes all members to the state dump. */
void membership_dump(const membership_t *membership,
		     const dump_writer_t *writer);

#endif
