/*
 * The messages between entry instances as typed values; a codec gives them a
 * form for the wire.
 */
#ifndef CATK_PEER_MESSAGE_H
#define CATK_PEER_MESSAGE_H

#include "lib/catalogue/catalogue.h"
#include "lib/common/error.h"
#include "lib/membership/membership.h"
#include "lib/subscription/subscription.h"

/* Instances that speak different versions drop the connection. */
#define PEER_PROTOCOL_VERSION 2

typedef enum {
	PEER_HELLO, /* first on a connection, from the side that opened it */
	PEER_MEMBERSHIP,
	PEER_CONFIG_PULL, /* asks for the configuration in force */
	PEER_CONFIG_DOCUMENT,
	PEER_FORWARD_CALL, /* to the issuer of the request id */
	PEER_FORWARD_ANSWER,
	PEER_FORWARD_CANCEL, /* nobody waits at the forwarder any more */
	PEER_SUBSCRIBE, /* to a source of changes, all the time */
	PEER_ENDPOINTS /* answers it, and tells of changes at once */
} peer_message_kind_t;

/* A call under an id that the receiver issued. */
typedef struct {
	guint64 number; /* chosen by the forwarder, never used again */
	const char *service;
	const char *method;
	const char *request_id;
	const char *caller;
	GTimeSpan remaining; /* until the deadline, below 0 when it passed */
	GBytes *body;
} peer_forward_call_t;

typedef struct {
	guint64 number;
	catk_error_t error; /* as in call_answer_t */
	guint status;
	GBytes *body; /* NULL with an error */
} peer_forward_answer_t;

typedef struct {
	subscription_position_t position;
	gboolean own_only; /* what the receiver learnt from the store itself */
} peer_subscribe_t;

/* Statements in a message, above the endpoints of the target size. */
#define PEER_ENDPOINTS_MAX 10000

typedef struct {
	subscription_update_t update;
	const catalogue_change_t *statements;
	guint count; /* at most PEER_ENDPOINTS_MAX */
} peer_endpoints_t;

/*
 * Only the member that kind names is used. Strings, bodies and updates belong
 * to whoever made the message.
 */
typedef struct {
	peer_message_kind_t kind;
	guint64 config_version; /* in force at the sender, 0 for none */
	guint64 store_revision; /* up to which it has read changes, 0: none */
	union {
		guint protocol_version; /* PEER_HELLO */
		membership_message_t membership;
		struct {
			guint64 version;
			GBytes *document;
		} config; /* PEER_CONFIG_DOCUMENT */
		peer_forward_call_t call;
		peer_forward_answer_t answer;
		guint64 cancelled; /* number of PEER_FORWARD_CANCEL */
		peer_subscribe_t subscribe;
		peer_endpoints_t endpoints;
	} u;
} peer_message_t;

#endif
