/*
 * The announcement of leaving. This instance pings all others itself, because
 * callers are sent to it by each of them that does not know: piggybacked news
 * takes longer than a graceful stop when many instances leave at once.
 */
#include "lib/membership/membership_internal.h"

/* Time after which a member that has not acknowledged is pinged again. */
#define LEAVE_REPEAT_INTERVAL (500 * G_TIME_SPAN_MILLISECOND)
/*
 * Pings are spread over LEAVE_REPEAT_INTERVAL, since each may open a connection.
 */
#define LEAVE_BATCH_INTERVAL (100 * G_TIME_SPAN_MILLISECOND)
#define LEAVE_BATCHES (LEAVE_REPEAT_INTERVAL / LEAVE_BATCH_INTERVAL)

void membership_leave(membership_t *membership)
{
	if (membership->self->state == MEMBER_LEAVING)
		return;
	membership->self->state = MEMBER_LEAVING;
	node_of(membership->self)->state_entered = membership->now;
	membership->leave_sequence = membership->last_sequence;
	membership->next_leave_batch = 0;
}

static gboolean is_announcement_due(const node_t *node, member_state_t state,
				    GTimeSpan now)
{
	return !node->knows_leaving && now >= node->next_leave_ping &&
	       (node->info.state == MEMBER_LEAVING) ==
		       (state == MEMBER_LEAVING);
}

/* Returns the number of pings sent, at most max. */
static guint announce_to(membership_t *membership, member_state_t state,
			 guint max, GTimeSpan now)
{
	guint sent = 0;
	node_t *node;

	TAILQ_FOREACH (node, &membership->ping_queue, ping_link) {
		if (sent == max)
			break;
		if (!is_announcement_due(node, state, now))
			continue;
		node->next_leave_ping = now + LEAVE_REPEAT_INTERVAL;
		membership_send_ping(membership, node);
		sent++;
	}
	return sent;
}

/*
 * Members that are leaving too come last: if the whole fleet stops, most of
 * them are known to leave before their turn.
 */
void membership_announce_leaving(membership_t *membership, GTimeSpan now)
{
	guint batch = membership->count / LEAVE_BATCHES + 1;
	guint sent = announce_to(membership, MEMBER_LIVE, batch, now);

	if (membership_is_mostly_live(membership))
		announce_to(membership, MEMBER_LEAVING, batch - sent, now);
	membership->next_leave_batch = now + LEAVE_BATCH_INTERVAL;
}

void membership_acknowledge_leaving(const membership_t *membership,
				    node_t *sender, guint64 sequence)
{
	if (membership->self->state == MEMBER_LEAVING &&
	    sequence > membership->leave_sequence)
		sender->knows_leaving = TRUE;
}
