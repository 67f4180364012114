/*
 * Messages between instances in decoded form. See codec/peer_codec.h for the
 * wire format.
 */
#ifndef CATK_PEER_MESSAGE_H
#define CATK_PEER_MESSAGE_H

#include "lib/catalogue/catalogue.h"
#include "lib/common/error.h"
#include "lib/evacuation/evacuation.h"
#include "lib/membership/membership.h"
#include "lib/quota/quota.h"
#include "lib/subscription/subscription.h"

/* Instances close a connection to a peer with another version. */
#define PEER_PROTOCOL_VERSION 2

typedef enum {
	PEER_HELLO, /* first on a connection, from the side that opened it */
	PEER_MEMBERSHIP,
	PEER_CONFIG_PULL, /* requests the configuration in force */
	PEER_CONFIG_DOCUMENT, /* answers PEER_CONFIG_PULL */
	PEER_FORWARD_CALL, /* to the issuer of the request id */
	PEER_FORWARD_ANSWER,
	PEER_FORWARD_CANCEL, /* the forwarder no longer needs the answer */
	PEER_SUBSCRIBE, /* to a source, renewed periodically */
	PEER_ENDPOINTS, /* answers PEER_SUBSCRIBE, and on each change */
	PEER_EVACUATION_PULL, /* requests the evacuated data centres */
	PEER_EVACUATIONS, /* answers PEER_EVACUATION_PULL */
	PEER_QUOTA_ASK, /* to the owners of rate limits */
	PEER_QUOTA_ANSWER /* answers PEER_QUOTA_ASK */
} peer_message_kind_t;

/* Largest document of a configuration, in bytes: a value of the object API. */
#define PEER_CONFIG_BYTES_MAX (1 << 20)

/* A call whose request id the receiver issued. */
typedef struct {
	guint64 number; /* unique among the calls of the forwarder */
	const char *service;
	const char *method;
	const char *request_id;
	const char *caller;
	GTimeSpan remaining; /* until the deadline, negative if it has passed */
	GBytes *body;
} peer_forward_call_t;

typedef struct {
	guint64 number; /* of the forwarded call */
	catk_error_t error; /* as in call_answer_t */
	guint status;
	GBytes *body; /* NULL if error is set */
} peer_forward_answer_t;

typedef struct {
	subscription_position_t position;
	/* Request only what the receiver itself read from the store. */
	gboolean own_only;
	gboolean want_all; /* the sender has no list of endpoints yet */
} peer_subscribe_t;

/* Changes per message, more than the largest supported site has endpoints. */
#define PEER_ENDPOINTS_MAX 10000

typedef struct {
	subscription_update_t update;
	const catalogue_change_t *changes;
	guint count; /* at most PEER_ENDPOINTS_MAX */
} peer_endpoints_t;

/* The evacuated data centres at the position in evacuation_position. */
typedef struct {
	const char *data_centres[EVACUATION_DATA_CENTRES_MAX];
	guint count;
} peer_evacuations_t;

/*
 * Only the member of u that kind selects is valid. Strings, bodies and updates
 * are owned by the creator of the message.
 */
typedef struct {
	peer_message_kind_t kind;
	guint64 config_version; /* in force at the sender, 0 for none */
	/* Up to which the sender has read changes, 0 for none. */
	guint64 store_revision;
	/* Of the evacuated data centres as known to the sender, 0 for none. */
	guint64 evacuation_position;
	union {
		guint protocol_version; /* PEER_HELLO */
		membership_message_t membership;
		/* PEER_CONFIG_PULL: the answer may be compressed. */
		gboolean accepts_deflated;
		struct {
			guint64 version;
			GBytes *document;
			/* The receiver accepts a compressed document. */
			gboolean may_deflate;
			/* Compressed document to be sent in its place, or NULL. */
			GBytes *deflated;
		} config; /* PEER_CONFIG_DOCUMENT */
		peer_forward_call_t call;
		peer_forward_answer_t answer;
		guint64 cancelled; /* number of PEER_FORWARD_CANCEL */
		peer_subscribe_t subscribe;
		peer_endpoints_t endpoints;
		peer_evacuations_t evacuations;
		quota_ask_t quota_ask;
		quota_answer_t quota_answer;
	} u;
} peer_message_t;

#endif
