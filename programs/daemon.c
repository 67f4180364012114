#include "programs/daemon.h"

#include <glib-unix.h>
#include <signal.h>
#include <sys/resource.h>

#include "net/caller_api.h"
#include "net/config_source.h"
#include "net/config_store.h"
#include "net/http_service.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/object_api.h"
#include "net/operator_api.h"
#include "net/peer_link.h"
#include "net/proxy.h"
#include "net/system_clock.h"
#include "net/upstream_client.h"
#include "platform/http_codec.h"
#include "platform/platform.h"

#define OBJECT_API_TIMEOUT (2 * G_TIME_SPAN_SECOND)
#define INCARNATION_RANDOM_BITS 10
/*
 * Idle time of connections to endpoints where instances prefer few of them.
 * Endpoints close a connection after 10 s.
 */
#define PREFERRED_IDLE_TIMEOUT (8 * G_TIME_SPAN_SECOND)
/*
 * Time between two iterations of the main loop after which the process counts as
 * having stood still. The entry wakes the loop every 50 ms.
 */
#define STALL_MIN (75 * G_TIME_SPAN_MILLISECOND)

typedef struct {
	const settings_t *settings;
	GMainLoop *loop;
	GRand *random;
	counters_t counters;
	event_log_t log;
	metrics_t *metrics;
	guint64 incarnation;
	entry_t *entry;
	body_budget_t bodies; /* of requests on all listeners */
	listener_t listeners[LISTENER_COUNT];
	http_service_t *service; /* of callers, operators and metrics */
	caller_api_t *caller_api;
	operator_api_t *operator_api;
	upstream_client_t *upstream_client;
	object_api_t *object_api;
	config_source_t *config_source;
	peer_link_t *peer_link; /* NULL without a peer address */
	proxy_t *proxy; /* NULL without a proxy address */
	platform_t *platform; /* NULL without a metadata store */
	GSource *entry_timer;
	GSource *stall_detector;
	/* When entry_is_shutdown_complete() first returned TRUE, 0 before. */
	GTimeSpan shutdown_completed_at;
	const daemon_reload_t *reload;
} daemon_t;

/*
 * Wakes the main loop when entry_tick() is due. It is a source of its own,
 * because the due time may change with every event.
 */
typedef struct {
	GSource source;
	daemon_t *daemon;
} entry_source_t;

static gboolean entry_source_prepare(GSource *source, gint *timeout)
{
	daemon_t *daemon = ((entry_source_t *)source)->daemon;
	GTimeSpan wait = entry_next_wakeup(daemon->entry) -
			 catk_clock_now(&system_clock);

	/* Rounded up, so that the loop does not wake too early. */
	*timeout = wait <= 0 ? 0 :
			       (gint)((wait + G_TIME_SPAN_MILLISECOND - 1) /
				      G_TIME_SPAN_MILLISECOND);
	return wait <= 0;
}

static gboolean entry_source_check(GSource *source)
{
	daemon_t *daemon = ((entry_source_t *)source)->daemon;

	return catk_clock_now(&system_clock) >=
	       entry_next_wakeup(daemon->entry);
}

static gboolean all_answers_written(const daemon_t *daemon)
{
	return http_service_is_flushed(daemon->service) &&
	       (!daemon->proxy || proxy_is_idle(daemon->proxy));
}

/*
 * Ends the main loop when the graceful shutdown is complete and the callers have
 * read the last answers, or when the platform is about to kill the process.
 */
static void quit_after_shutdown(daemon_t *daemon)
{
	GTimeSpan now = catk_clock_now(&system_clock);

	if (!daemon->shutdown_completed_at &&
	    entry_is_shutdown_complete(daemon->entry)) {
		daemon->shutdown_completed_at = now;
		if (daemon->proxy)
			proxy_stop(daemon->proxy);
	}
	if (!daemon->shutdown_completed_at)
		return;
	if (all_answers_written(daemon) ||
	    now >= entry_shutdown_deadline(daemon->entry) +
			    daemon->settings->final_writes_max)
		g_main_loop_quit(daemon->loop);
}

static void end_shutdown(const daemon_t *daemon)
{
	const proxy_t *proxy = daemon->proxy;

	entry_end_shutdown(daemon->entry,
			   proxy ? proxy_connection_count(proxy) : 0,
			   proxy ? proxy_unsent_count(proxy) : 0);
}

static gboolean entry_source_dispatch(GSource *source, GSourceFunc callback,
				      gpointer data)
{
	daemon_t *daemon = ((entry_source_t *)source)->daemon;

	(void)callback;
	(void)data;
	entry_tick(daemon->entry);
	quit_after_shutdown(daemon);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs entry_source_funcs = {
	.prepare = entry_source_prepare,
	.check = entry_source_check,
	.dispatch = entry_source_dispatch,
};

/* Its priority is above that of all others, which wait for its dispatch. */
typedef struct {
	GSource source;
	daemon_t *daemon;
	GTimeSpan last_iteration; /* instant */
} stall_source_t;

static gboolean stall_source_check(GSource *source)
{
	stall_source_t *detector = (stall_source_t *)source;
	GTimeSpan now = catk_clock_now(&system_clock);
	gboolean stalled = now - detector->last_iteration > STALL_MIN;

	detector->last_iteration = now;
	return stalled;
}

/*
 * Requests whose clients left while the process stood still must not be sent on
 * by an event that is handled before the end of their connections.
 */
static gboolean stall_source_dispatch(GSource *source, GSourceFunc callback,
				      gpointer data)
{
	daemon_t *daemon = ((stall_source_t *)source)->daemon;

	(void)callback;
	(void)data;
	if (daemon->proxy)
		proxy_close_disconnected(daemon->proxy);
	http_service_close_disconnected(daemon->service);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs stall_source_funcs = {
	.check = stall_source_check,
	.dispatch = stall_source_dispatch,
};

static void on_answer(void *ctx, void *caller_ref, const call_answer_t *answer)
{
	daemon_t *daemon = ctx;

	if (daemon->metrics)
		metrics_record_answer(daemon->metrics, answer);
	if (daemon->proxy && proxy_owns(daemon->proxy, caller_ref))
		proxy_send_response(daemon->proxy, caller_ref, answer);
	else
		caller_api_answer(daemon->caller_api, caller_ref, answer);
}

static void on_start_attempt(void *ctx, const attempt_request_t *request)
{
	daemon_t *daemon = ctx;

	if (request->caller_ref)
		proxy_start_attempt(daemon->proxy, request);
	else
		upstream_client_start_attempt(daemon->upstream_client, request);
}

static void on_cancel_attempt(void *ctx, guint64 attempt_id)
{
	daemon_t *daemon = ctx;

	if (daemon->proxy)
		proxy_cancel_attempt(daemon->proxy, attempt_id);
	upstream_client_cancel_attempt(daemon->upstream_client, attempt_id);
}

static void on_send_probe(void *ctx, const char *service, const char *endpoint)
{
	daemon_t *daemon = ctx;

	if (daemon->proxy)
		proxy_send_probe(daemon->proxy, service, endpoint);
	else
		upstream_client_send_probe(daemon->upstream_client, service,
					   endpoint);
}

static void on_attempt_ended(void *ctx, const attempt_result_t *result)
{
	daemon_t *daemon = ctx;

	entry_attempt_ended(daemon->entry, result);
}

static void on_probe_ended(void *ctx, const char *service, const char *address,
			   const load_report_t *report)
{
	daemon_t *daemon = ctx;

	entry_probe_ended(daemon->entry, service, address, report);
}

static void on_send_peer(void *ctx, const char *address,
			 const peer_message_t *message)
{
	daemon_t *daemon = ctx;

	peer_link_send(daemon->peer_link, address, message);
}

static void on_reply_peer(void *ctx, guint64 connection,
			  const peer_message_t *message)
{
	daemon_t *daemon = ctx;

	peer_link_reply(daemon->peer_link, connection, message);
}

static gboolean on_config_received(void *ctx, guint64 version, GBytes *document)
{
	daemon_t *daemon = ctx;
	catk_error_t error;

	if (daemon->platform)
		return platform_activate_config(daemon->platform, document);
	if (!config_source_activate(daemon->entry, version, document, &error))
		g_warning("configuration version %" G_GUINT64_FORMAT
			  " from a peer is invalid and was rejected: %s",
			  version, error.message);
	return FALSE;
}

static void on_peer_message(void *ctx, guint64 connection,
			    const peer_message_t *message)
{
	daemon_t *daemon = ctx;

	entry_receive_peer_message(daemon->entry, connection, message);
}

static void on_peer_closed(void *ctx, guint64 connection)
{
	daemon_t *daemon = ctx;

	entry_inbound_peer_closed(daemon->entry, connection);
}

static void on_peer_lost(void *ctx, const char *address)
{
	daemon_t *daemon = ctx;

	entry_outbound_peer_lost(daemon->entry, address);
}

static gboolean on_shutdown_signal(gpointer data)
{
	daemon_t *daemon = data;

	g_message("graceful shutdown requested: serving calls until all "
		  "addresses and request ids given to callers have expired");
	entry_shutdown(daemon->entry, "signal");
	return G_SOURCE_CONTINUE;
}

static void add_seeds(daemon_t *daemon, const settings_t *settings)
{
	guint i;

	for (i = 0; i < settings->seeds->len; i++)
		entry_add_seed(daemon->entry, settings->seeds->pdata[i]);
}

static gboolean on_reload(gpointer data)
{
	daemon_t *daemon = data;
	settings_t *settings = daemon->reload->read(daemon->reload->ctx);

	LOG_EVENT(&daemon->log, "settings_read",
		  LOG_TEXT("outcome", settings ? "applied" : "rejected"));
	if (!settings)
		return G_SOURCE_CONTINUE;
	entry_update_limits(daemon->entry, &settings->entry);
	if (daemon->peer_link)
		add_seeds(daemon, settings);
	settings_free(settings);
	return G_SOURCE_CONTINUE;
}

/*
 * Increases with each start of an instance. Random low bits distinguish starts
 * within one microsecond.
 */
static guint64 new_incarnation(GRand *random)
{
	guint64 now = (guint64)g_get_real_time();

	return now << INCARNATION_RANDOM_BITS |
	       g_rand_int_range(random, 0, 1 << INCARNATION_RANDOM_BITS);
}

static void set_up_entry(daemon_t *daemon)
{
	const settings_t *settings = daemon->settings;
	member_t self = { 0 };
	entry_actions_t actions = {
		.answer = on_answer,
		.start_attempt = on_start_attempt,
		.cancel_attempt = on_cancel_attempt,
		.send_probe = on_send_probe,
		.send_to_peer = on_send_peer,
		.reply_to_peer = on_reply_peer,
		.config_received = on_config_received,
		.log = daemon->log,
		.ctx = daemon,
	};

	g_strlcpy(self.name, settings->instance, sizeof(self.name));
	g_strlcpy(self.data_centre, settings->data_centre,
		  sizeof(self.data_centre));
	g_strlcpy(self.caller_address,
		  settings->proxy_address ? settings->proxy_address :
					    settings->caller_address,
		  sizeof(self.caller_address));
	if (settings->peer_address)
		g_strlcpy(self.peer_address, settings->peer_address,
			  sizeof(self.peer_address));
	self.incarnation = daemon->incarnation;
	daemon->entry = entry_new(&self, &settings->entry, &actions,
				  &system_clock, daemon->random,
				  &daemon->counters);
}

static void set_up_upstream_client(daemon_t *daemon)
{
	upstream_client_events_t events = {
		.attempt_ended = on_attempt_ended,
		.probe_ended = on_probe_ended,
		.ctx = daemon,
	};
	/* The incarnation keeps ids unique across restarts. */
	gchar *name = g_strdup_printf("%s.%" G_GUINT64_FORMAT,
				      daemon->settings->instance,
				      daemon->incarnation);

	daemon->upstream_client = upstream_client_new(
		&events, name, (gsize)daemon->settings->body_bytes_max);
	g_free(name);
}

/* Returns TRUE with peer_link NULL if the settings have no peer address. */
static gboolean set_up_peers(daemon_t *daemon, catk_error_t *err)
{
	const settings_t *settings = daemon->settings;
	peer_link_events_t events = {
		.message = on_peer_message,
		.closed = on_peer_closed,
		.outbound_lost = on_peer_lost,
		.ctx = daemon,
	};
	const gsize memory = (gsize)settings->memory_max_mb << 20;
	const char *listen_address = settings->peer_listen ?
					     settings->peer_listen :
					     settings->peer_address;

	if (!settings->peer_address)
		return TRUE;
	daemon->peer_link = peer_link_new(listen_address,
					  (gsize)settings->body_bytes_max,
					  &events, &daemon->counters, err);
	if (!daemon->peer_link)
		return FALSE;
	peer_link_set_limits(daemon->peer_link,
			     &daemon->listeners[LISTENER_PEERS],
			     memory / 100 * LISTENER_PEERS_PERCENT,
			     memory / 100 * LISTENER_PEERS_SEND_PERCENT);
	add_seeds(daemon, settings);
	return TRUE;
}

static gboolean set_up_platform(daemon_t *daemon, catk_error_t *err)
{
	const settings_t *settings = daemon->settings;
	proxy_codec_t codec = http_codec();
	const platform_listeners_t listeners = {
		.directory = &daemon->listeners[LISTENER_DIRECTORY],
		.readiness = &daemon->listeners[LISTENER_READINESS],
	};

	daemon->platform = platform_new(settings, daemon->entry, &listeners,
					&system_clock, &daemon->counters, err);
	if (!daemon->platform)
		return FALSE;
	if (!settings->proxy_address)
		return TRUE;
	daemon->proxy = proxy_new(settings->proxy_address, daemon->entry,
				  &codec, (gsize)settings->body_bytes_max,
				  &daemon->listeners[LISTENER_PROXY],
				  &system_clock, err);
	if (daemon->proxy && settings->entry.preferred_instances)
		proxy_set_endpoint_idle_timeout(daemon->proxy,
						PREFERRED_IDLE_TIMEOUT);
	return daemon->proxy != NULL;
}

static sigset_t handled_signals(void)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGHUP);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	return signals;
}

void daemon_block_signals(void)
{
	sigset_t signals = handled_signals();

	sigprocmask(SIG_BLOCK, &signals, NULL);
}

/*
 * The handlers stay until the process ends: without them a signal that comes
 * while it cleans up would kill it. They run in the main loop only, so signals
 * during the start are handled after it.
 */
static void handle_signals(daemon_t *daemon)
{
	sigset_t signals = handled_signals();

	g_unix_signal_add(SIGHUP, on_reload, daemon);
	g_unix_signal_add(SIGTERM, on_shutdown_signal, daemon);
	g_unix_signal_add(SIGINT, on_shutdown_signal, daemon);
	sigprocmask(SIG_UNBLOCK, &signals, NULL);
}

/* The descriptors that the process may open. */
static guint64 descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
	    limit.rlim_cur == RLIM_INFINITY)
		return G_MAXINT;
	return limit.rlim_cur;
}

static void set_up_listeners(daemon_t *daemon)
{
	const gsize memory = (gsize)daemon->settings->memory_max_mb << 20;
	const guint64 descriptors = descriptor_limit();
	int i;

	body_budget_init(&daemon->bodies,
			 memory / 100 * LISTENER_BODIES_PERCENT);
	for (i = 0; i < LISTENER_COUNT; i++)
		listener_init(&daemon->listeners[i], (listener_id_t)i,
			      descriptors, &daemon->bodies, &daemon->counters,
			      &daemon->log);
}

/* A kept connection would be cut when the process ends. */
static gboolean is_leaving(void *ctx)
{
	const daemon_t *daemon = ctx;

	return entry_is_leaving(daemon->entry);
}

static void add_entry_timer(daemon_t *daemon)
{
	daemon->entry_timer =
		g_source_new(&entry_source_funcs, sizeof(entry_source_t));
	((entry_source_t *)daemon->entry_timer)->daemon = daemon;
	g_source_attach(daemon->entry_timer, NULL);
}

static void add_stall_detector(daemon_t *daemon)
{
	stall_source_t *detector;

	daemon->stall_detector =
		g_source_new(&stall_source_funcs, sizeof(stall_source_t));
	detector = (stall_source_t *)daemon->stall_detector;
	detector->daemon = daemon;
	detector->last_iteration = catk_clock_now(&system_clock);
	g_source_set_priority(daemon->stall_detector, G_PRIORITY_HIGH);
	g_source_attach(daemon->stall_detector, NULL);
}

static void remove_source(GSource *source)
{
	g_source_destroy(source);
	g_source_unref(source);
}

gboolean daemon_run(const settings_t *settings, const daemon_reload_t *reload,
		    catk_error_t *err)
{
	daemon_t daemon = { .settings = settings, .reload = reload };
	gboolean ok = FALSE;

	handle_signals(&daemon);
	daemon.log = log_start_events(&daemon.counters);
	daemon.loop = g_main_loop_new(NULL, FALSE);
	daemon.random = g_rand_new();
	daemon.incarnation = new_incarnation(daemon.random);
	set_up_listeners(&daemon);
	daemon.service = http_service_new(MAX((gsize)settings->body_bytes_max,
					      CONFIG_STORE_BYTES_MAX),
					  is_leaving, &daemon, &system_clock);
	set_up_entry(&daemon);
	set_up_upstream_client(&daemon);
	daemon.caller_api = caller_api_new(daemon.service, daemon.entry,
					   (gsize)settings->body_bytes_max);
	if (settings->object_api)
		daemon.object_api =
			object_api_new(settings->object_api, settings->instance,
				       OBJECT_API_TIMEOUT, &daemon.counters);
	daemon.metrics =
		metrics_new(daemon.service, &daemon.counters, daemon.entry);
	daemon.operator_api = operator_api_new(daemon.service, daemon.entry,
					       daemon.object_api);
	if (!http_service_listen(daemon.service, settings->caller_address,
				 &daemon.listeners[LISTENER_CALLERS], err) ||
	    !set_up_peers(&daemon, err))
		goto out;
	if (settings->metadata_store) {
		if (!set_up_platform(&daemon, err))
			goto out;
	} else {
		daemon.config_source = config_source_new(
			settings, daemon.object_api, daemon.entry);
	}
	add_entry_timer(&daemon);
	add_stall_detector(&daemon);
	LOG_EVENT(&daemon.log, "started",
		  LOG_TEXT("instance", settings->instance),
		  LOG_TEXT("data_centre", settings->data_centre),
		  LOG_TEXT("callers", settings->caller_address),
		  LOG_TEXT("proxy", settings->proxy_address ?
					    settings->proxy_address :
					    ""));
	g_main_loop_run(daemon.loop);
	end_shutdown(&daemon);
	remove_source(daemon.entry_timer);
	remove_source(daemon.stall_detector);
	LOG_EVENT(&daemon.log, "stopped",
		  LOG_TEXT("instance", settings->instance));
	ok = TRUE;
out:
	platform_free(daemon.platform);
	proxy_free(daemon.proxy);
	config_source_free(daemon.config_source);
	peer_link_free(daemon.peer_link);
	operator_api_free(daemon.operator_api);
	metrics_free(daemon.metrics);
	object_api_free(daemon.object_api);
	caller_api_free(daemon.caller_api);
	upstream_client_free(daemon.upstream_client);
	http_service_free(daemon.service);
	entry_free(daemon.entry);
	g_rand_free(daemon.random);
	g_main_loop_unref(daemon.loop);
	log_stop_events();
	return ok;
}
