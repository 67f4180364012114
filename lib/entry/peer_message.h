/*
 * The messages between entry instances as typed values; a codec gives them a
 * form for the wire.
 */
#ifndef CATK_PEER_MESSAGE_H
#define CATK_PEER_MESSAGE_H

#include "lib/common/error.h"
#include "lib/membership/membership.h"

/* Instances that speak different versions drop the connection. */
#define PEER_PROTOCOL_VERSION 1

typedef enum {
	PEER_HELLO, /* first on a connection, from the side that opened it */
	PEER_MEMBERSHIP,
	PEER_CONFIG_PULL, /* asks for the configuration in force */
	PEER_CONFIG_DOCUMENT,
	PEER_FORWARD_CALL, /* to the issuer of the request id */
	PEER_FORWARD_ANSWER,
	PEER_FORWARD_CANCEL /* nobody waits at the forwarder any more */
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

/*
 * Only the member that kind names is used. Strings, bodies and updates belong
 * to whoever made the message.
 */
typedef struct {
	peer_message_kind_t kind;
	guint64 config_version; /* in force at the sender, 0 for none */
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
	} u;
} peer_message_t;

#endif
