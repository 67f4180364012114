#include "lib/membership/membership.h"

#include <string.h>

struct membership {
	counters_t *counters;
	member_t *self; /* first of members */
	TAILQ_HEAD(member_list, member) members;
};

const char *member_state_name(member_state_t state)
{
	static const char *const names[] = {
		[MEMBER_LIVE] = "live",
		[MEMBER_SUSPECT] = "suspect",
		[MEMBER_LEAVING] = "leaving",
		[MEMBER_GONE] = "gone",
	};

	g_assert(state <= MEMBER_GONE);
	return names[state];
}

static member_t *add_member(membership_t *membership, const member_t *source)
{
	member_t *member = g_new0(member_t, 1);

	*member = *source;
	TAILQ_INSERT_TAIL(&membership->members, member, link);
	return member;
}

membership_t *membership_new(const member_t *self, counters_t *counters)
{
	membership_t *membership = g_new0(membership_t, 1);

	membership->counters = counters;
	TAILQ_INIT(&membership->members);
	membership->self = add_member(membership, self);
	membership->self->state = MEMBER_LIVE;
	return membership;
}

void membership_free(membership_t *membership)
{
	member_t *member, *next;

	if (!membership)
		return;
	TAILQ_FOREACH_SAFE (member, &membership->members, link, next)
		g_free(member);
	g_free(membership);
}

const member_t *membership_self(const membership_t *membership)
{
	return membership->self;
}

void membership_leave(membership_t *membership)
{
	membership->self->state = MEMBER_LEAVING;
}

const member_t *membership_find(const membership_t *membership,
				const char *name)
{
	const member_t *member;

	TAILQ_FOREACH (member, &membership->members, link)
		if (strcmp(member->name, name) == 0)
			return member;
	return NULL;
}

const member_t *membership_first(const membership_t *membership)
{
	return TAILQ_FIRST(&membership->members);
}

const member_t *membership_next(const member_t *member)
{
	return TAILQ_NEXT(member, link);
}

void membership_dump(const membership_t *membership, const dump_writer_t *w)
{
	const member_t *member;

	w->begin_array(w->ctx, "members");
	TAILQ_FOREACH (member, &membership->members, link) {
		w->begin_object(w->ctx, NULL);
		w->string(w->ctx, "name", member->name);
		w->string(w->ctx, "data_centre", member->data_centre);
		w->string(w->ctx, "caller_address", member->caller_address);
		w->string(w->ctx, "peer_address", member->peer_address);
		w->string(w->ctx, "state", member_state_name(member->state));
		w->integer(w->ctx, "incarnation", (gint64)member->incarnation);
		w->integer(w->ctx, "config_version",
			   (gint64)member->config_version);
		w->end_object(w->ctx);
	}
	w->end_array(w->ctx);
}
