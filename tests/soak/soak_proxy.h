/*
 * A TCP proxy on a loopback port that injects connection faults. Each proxy has
 * one target: an endpoint, the store, or an instance's peer address.
 */
#ifndef CATK_SOAK_PROXY_H
#define CATK_SOAK_PROXY_H

#include <glib.h>

typedef struct soak_proxy soak_proxy_t;

typedef enum {
	PROXY_PASS,
	PROXY_DELAY, /* forwards all data after a delay */
	PROXY_RESET, /* resets open connections, and new ones on accept */
	PROXY_HOLD_TO_TARGET, /* holds back data for the target */
	PROXY_HOLD_TO_CLIENT, /* holds back data for the client */
	PROXY_BLACKHOLE, /* drops all data of open connections; new ones work */
	PROXY_MODE_COUNT
} proxy_mode_t;

const char *proxy_mode_name(proxy_mode_t mode);

/*
 * Listens on 127.0.0.1:port and forwards to 127.0.0.1:target. Aborts the
 * program when the port is in use.
 */
soak_proxy_t *soak_proxy_new(guint port, guint target);
/* Resets the open connections. NULL is allowed. */
void soak_proxy_free(soak_proxy_t *proxy);

/*
 * Changes the mode and forwards the data held back by the previous one.
 * delay_ms applies to PROXY_DELAY. PROXY_BLACKHOLE affects the connections that
 * are open now, until they are closed, also in later modes.
 */
void soak_proxy_set(soak_proxy_t *proxy, proxy_mode_t mode, guint delay_ms);

/* TRUE in any mode other than PROXY_PASS. */
gboolean soak_proxy_is_faulty(const soak_proxy_t *proxy);

#endif
