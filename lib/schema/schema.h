/*
 * The configured priorities, services with their methods, routes and
 * organisations. Each declaration is checked when it is added; a complete
 * schema is read-only.
 */
#ifndef CATK_SCHEMA_H
#define CATK_SCHEMA_H

#include <glib.h>

#include "lib/common/error.h"
#include "lib/common/intrusive.h"
#include "lib/organisation/organisation.h"

#define SCHEMA_PRIORITIES_MAX 8
#define SCHEMA_NAME_MAX 64 /* bytes, without the terminating zero */
#define SCHEMA_DEADLINE_MIN (1 * G_TIME_SPAN_MILLISECOND)
#define SCHEMA_DEADLINE_MAX (10 * G_TIME_SPAN_MINUTE)
#define SCHEMA_SLOTS_MAX 1024
#define SCHEMA_CONNECTIONS_MAX 10000
#define SCHEMA_PROBES_PER_SECOND_MAX 1000.0
#define SCHEMA_WARMUP_PER_SECOND_MAX 1e6

/* Index 0 is the most urgent. */
typedef struct {
	char *name;
	guint floor_percent; /* minimum share of dispatches under overload */
} schema_priority_t;

typedef struct schema_method {
	TAILQ_ENTRY(schema_method) link;
	char *name;
	guint priority; /* index into the schema's priorities */
	gboolean idempotent;
	GTimeSpan deadline; /* default and maximum of a call's deadline */
} schema_method_t;

/* An endpoint with a configured address. */
typedef struct schema_endpoint {
	TAILQ_ENTRY(schema_endpoint) link;
	char *address; /* "ip:port" */
} schema_endpoint_t;

typedef struct schema_service {
	TAILQ_ENTRY(schema_service) link;
	char *name;
	guint slots; /* concurrent requests that an endpoint executes */
	guint connections; /* maximum to an endpoint, from all entries */
	double probes_per_second; /* maximum to an endpoint, from all entries */
	/* Key of the platform's instance list, NULL for fixed addresses. */
	char *instance_list;
	char *health_path; /* path of HTTP health checks, NULL for none */
	/*
	 * For an endpoint that has just started: how long it stays cold, and
	 * how many requests per second it bears meanwhile from all entries, 0
	 * for no limit.
	 */
	GTimeSpan warmup_duration;
	double warmup_per_second;
	TAILQ_HEAD(schema_endpoint_list, schema_endpoint) endpoints;
	TAILQ_HEAD(schema_method_list, schema_method) methods;
} schema_service_t;

/* A service that receives requests of a route. */
typedef struct schema_target {
	TAILQ_ENTRY(schema_target) link;
	char *service;
	guint weight; /* share relative to the route's other targets */
} schema_target_t;

/*
 * A route: requests to one host whose path begins with a prefix. The method's
 * deadline is the maximum of a request's deadline.
 */
typedef struct schema_route {
	TAILQ_ENTRY(schema_route) link;
	schema_method_t method;
	char *host; /* lower case, without port */
	char *prefix; /* begins and ends with '/' */
	GTimeSpan objective; /* for the latency, 0 for none */
	guint attempts_max; /* per request */
	gboolean is_public; /* its requests need no key of an organisation */
	TAILQ_HEAD(schema_target_list, schema_target) targets;
} schema_route_t;

/* Limits for requests to routes; 0 is no limit. */
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
	GHashTable *services_by_name; /* name -> schema_service_t */
	GHashTable *routes_by_name; /* name -> schema_route_t */
	GHashTable *routes_by_match; /* host and prefix -> schema_route_t */
	schema_request_limits_t request_limits;
	organisations_t *organisations;
} schema_t;

/* Creates an empty schema. Free with schema_free(). */
schema_t *schema_new(void);

/* Frees the schema with all its declarations. NULL is allowed. */
void schema_free(schema_t *schema);

/*
 * Frees up to max routes of a schema that is not used any more, except for
 * schema_free(). Returns FALSE if no routes are left.
 */
gboolean schema_free_some_routes(schema_t *schema, guint max);

/*
 * Appends a priority that is less urgent than all before it. Returns FALSE with
 * CATK_INVALID_ARGUMENT for an invalid or repeated name, a floor_percent above
 * 100, too many priorities, or floors that add up to more than 100.
 */
gboolean schema_add_priority(schema_t *schema, const char *name,
			     guint floor_percent, catk_error_t *err);

/* Index of the priority of that name, or -1. */
int schema_find_priority(const schema_t *schema, const char *name);

/*
 * Adds a service without methods; the schema owns it. Returns NULL with
 * CATK_INVALID_ARGUMENT for an invalid or repeated name or a value out of
 * range: slots 1 to SCHEMA_SLOTS_MAX, connections 1 to SCHEMA_CONNECTIONS_MAX,
 * probes_per_second 0 to SCHEMA_PROBES_PER_SECOND_MAX.
 */
schema_service_t *schema_add_service(schema_t *schema, const char *name,
				     guint slots, guint connections,
				     double probes_per_second,
				     catk_error_t *err);

/*
 * Takes the service's endpoints from the platform's instance list of that name.
 * Returns FALSE with CATK_INVALID_ARGUMENT for an invalid name.
 */
gboolean schema_set_instance_list(schema_service_t *service, const char *name,
				  catk_error_t *err);

/*
 * Limits the requests to endpoints that have just started. Returns FALSE with
 * CATK_INVALID_ARGUMENT for a duration outside 0 to SCHEMA_DEADLINE_MAX or
 * per_second outside 0 to SCHEMA_WARMUP_PER_SECOND_MAX.
 */
gboolean schema_set_warmup(schema_service_t *service, GTimeSpan duration,
			   double per_second, catk_error_t *err);

/*
 * Adds an endpoint by its address, "ip:port". Returns FALSE with
 * CATK_INVALID_ARGUMENT when the address has another form or is repeated.
 */
gboolean schema_add_endpoint(schema_service_t *service, const char *address,
			     catk_error_t *err);

/*
 * Adds a method; the service owns it. Returns NULL with CATK_INVALID_ARGUMENT
 * for an invalid or repeated name, an undeclared priority, or a deadline
 * outside SCHEMA_DEADLINE_MIN to SCHEMA_DEADLINE_MAX.
 */
schema_method_t *schema_add_method(schema_t *schema, schema_service_t *service,
				   const char *name, const char *priority,
				   gboolean idempotent, GTimeSpan deadline,
				   catk_error_t *err);

/*
 * Adds a route without targets; the schema owns it. Returns NULL with
 * CATK_INVALID_ARGUMENT for an invalid or repeated name, an empty host, a
 * prefix that does not begin and end with '/', an undeclared priority, or a
 * deadline or an attempts_max out of range.
 */
schema_route_t *schema_add_route(schema_t *schema,
				 const schema_route_t *attributes,
				 const char *priority, catk_error_t *err);

/*
 * Adds a target to a route. Returns FALSE with CATK_INVALID_ARGUMENT when the
 * service is not declared or the weight is out of range.
 */
gboolean schema_add_target(const schema_t *schema, schema_route_t *route,
			   const char *service, guint weight,
			   catk_error_t *err);

/*
 * The route of the host with the longest prefix of the path, or NULL. host may
 * have a port and is compared without regard to case.
 */
const schema_route_t *schema_match_route(const schema_t *schema,
					 const char *host, const char *path);

/* TRUE for "ip:port". Host names are invalid, as they are never resolved. */
gboolean schema_address_is_valid(const char *address);

/* The service of that name, or NULL. */
const schema_service_t *schema_find_service(const schema_t *schema,
					    const char *name);

/* The method of that name, or NULL. */
const schema_method_t *schema_find_method(const schema_service_t *service,
					  const char *name);

#endif
