/*
 * The declarations of an operator: priorities, services and their methods.
 * A schema is built once, checked, and then read only.
 */
#ifndef CATK_SCHEMA_H
#define CATK_SCHEMA_H

#include <glib.h>

#include "lib/common/error.h"
#include "lib/common/intrusive.h"

#define SCHEMA_PRIORITIES_MAX 8
#define SCHEMA_NAME_MAX 64 /* bytes, without the terminating zero */
#define SCHEMA_DEADLINE_MIN (1 * G_TIME_SPAN_MILLISECOND)
#define SCHEMA_DEADLINE_MAX (10 * G_TIME_SPAN_MINUTE)
#define SCHEMA_SLOTS_MAX 1024
#define SCHEMA_CONNECTIONS_MAX 10000
#define SCHEMA_PROBES_PER_SECOND_MAX 1000.0

/* Index 0 is the most urgent. */
typedef struct {
	char *name;
	guint floor_percent; /* least share of dispatches under overload */
} schema_priority_t;

typedef struct schema_method {
	TAILQ_ENTRY(schema_method) link;
	char *name;
	guint priority; /* index into the schema's priorities */
	gboolean idempotent;
	GTimeSpan deadline; /* of a call that brings none, and its upper bound */
} schema_method_t;

/* An endpoint that the schema itself names. */
typedef struct schema_endpoint {
	TAILQ_ENTRY(schema_endpoint) link;
	char *address; /* "ip:port" */
} schema_endpoint_t;

typedef struct schema_service {
	TAILQ_ENTRY(schema_service) link;
	char *name;
	guint slots; /* concurrent requests an endpoint executes */
	guint connections; /* open connections an endpoint takes, all entries */
	double probes_per_second; /* budget per endpoint, all entries */
	/* Key of the platform's instance list; NULL when endpoints are named. */
	char *instance_list;
	char *health_path; /* of a probe over HTTP, NULL for none */
	TAILQ_HEAD(schema_endpoint_list, schema_endpoint) endpoints;
	TAILQ_HEAD(schema_method_list, schema_method) methods;
} schema_service_t;

/* One service that a route sends requests to. */
typedef struct schema_target {
	TAILQ_ENTRY(schema_target) link;
	char *service;
	guint weight; /* share relative to the route's other targets */
} schema_target_t;

/*
 * Requests of one host whose path begins with a prefix. The method's deadline
 * is the longest time that a request of the route may take.
 */
typedef struct schema_route {
	TAILQ_ENTRY(schema_route) link;
	schema_method_t method;
	char *host; /* lower case, without port */
	char *prefix; /* begins and ends with '/' */
	GTimeSpan objective; /* latency objective, 0 for none */
	guint attempts_max; /* endpoints that one request may be sent to */
	TAILQ_HEAD(schema_target_list, schema_target) targets;
} schema_route_t;

/* What callers of routes may send, and how long they may take. 0: no bound. */
typedef struct {
	gsize header_bytes_max;
	gsize body_bytes_max;
	GTimeSpan header_timeout;
	GTimeSpan idle_timeout;
} schema_request_limits_t;

typedef struct {
	guint priority_count;
	schema_priority_t priorities[SCHEMA_PRIORITIES_MAX];
	TAILQ_HEAD(schema_service_list, schema_service) services;
	TAILQ_HEAD(schema_route_list, schema_route) routes;
	GHashTable *routes_by_name; /* name -> schema_route_t */
	GHashTable *routes_by_match; /* host and prefix -> schema_route_t */
	schema_request_limits_t request_limits;
} schema_t;

/* An empty schema. Free with schema_free(). */
schema_t *schema_new(void);

/* Frees the schema with its services and methods. NULL is allowed. */
void schema_free(schema_t *schema);

/*
 * Appends a priority less urgent than all before it. floor_percent 0 to 100.
 * Returns FALSE with CATK_INVALID_ARGUMENT for a bad name, a name that exists,
 * too many priorities, or floors that add up to more than 100.
 */
gboolean schema_add_priority(schema_t *schema, const char *name,
			     guint floor_percent, catk_error_t *err);

/* Index of a priority, or -1. */
int schema_find_priority(const schema_t *schema, const char *name);

/*
 * Adds a service without methods; the schema owns it. Returns NULL with
 * CATK_INVALID_ARGUMENT for a bad or repeated name or a value out of range:
 * slots 1 to SCHEMA_SLOTS_MAX, connections 1 to SCHEMA_CONNECTIONS_MAX,
 * probes_per_second 0 to SCHEMA_PROBES_PER_SECOND_MAX.
 */
schema_service_t *schema_add_service(schema_t *schema, const char *name,
				     guint slots, guint connections,
				     double probes_per_second,
				     catk_error_t *err);

/*
 * The service's endpoints come from the platform's instance list of that
 * name. FALSE with CATK_INVALID_ARGUMENT for a bad name.
 */
gboolean schema_set_instance_list(schema_service_t *service, const char *name,
				  catk_error_t *err);

/*
 * Names one endpoint, "ip:port". FALSE with CATK_INVALID_ARGUMENT when the
 * address is not of that form or is named twice.
 */
gboolean schema_add_endpoint(schema_service_t *service, const char *address,
			     catk_error_t *err);

/*
 * Adds a method; the service owns it. Returns NULL with CATK_INVALID_ARGUMENT
 * for a bad or repeated name, an unknown priority, or a deadline outside
 * SCHEMA_DEADLINE_MIN to SCHEMA_DEADLINE_MAX.
 */
schema_method_t *schema_add_method(schema_t *schema, schema_service_t *service,
				   const char *name, const char *priority,
				   gboolean idempotent, GTimeSpan deadline,
				   catk_error_t *err);

/*
 * Adds a route without targets; the schema owns it. Returns NULL with
 * CATK_INVALID_ARGUMENT for a bad or repeated name, an empty host, a prefix
 * that does not begin and end with '/', an unknown priority, a deadline out of
 * range, an objective beyond the deadline, or no attempt.
 */
schema_route_t *schema_add_route(schema_t *schema,
				 const schema_route_t *attributes,
				 const char *priority, catk_error_t *err);

/*
 * Adds a target of a route; its service must be declared. FALSE with
 * CATK_INVALID_ARGUMENT.
 */
gboolean schema_add_target(const schema_t *schema, schema_route_t *route,
			   const char *service, guint weight,
			   catk_error_t *err);

/*
 * The route of the host with the longest prefix that begins the path, or NULL.
 * host may carry a port and capitals.
 */
const schema_route_t *schema_match_route(const schema_t *schema,
					 const char *host, const char *path);

/* TRUE for an IP address and a port, "ip:port": processes use no names. */
gboolean schema_address_is_valid(const char *address);

/* The service of that name, or NULL. */
const schema_service_t *schema_find_service(const schema_t *schema,
					    const char *name);

/* The method of that name, or NULL. */
const schema_method_t *schema_find_method(const schema_service_t *service,
					  const char *name);

#endif
