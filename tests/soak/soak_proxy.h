/*
 * A TCP proxy on a loopback port that misbehaves on demand. It sits on one path:
 * to an endpoint, to the store, or to an instance's peer address.
 */
#ifndef CATK_SOAK_PROXY_H
#define CATK_SOAK_PROXY_H

#include <glib.h>

typedef struct soak_proxy soak_proxy_t;

typedef enum {
	PROXY_PASS,
	PROXY_DELAY, /* every piece goes on later */
	PROXY_RESET, /* connections are reset, and new ones at once */
	PROXY_CUT_THERE, /* what the opener sends is held back */
	PROXY_CUT_BACK, /* what the target sends is held back */
	PROXY_SILENCE, /* open connections lose all bytes; new ones work */
	PROXY_MODE_COUNT
} proxy_mode_t;

const char *proxy_mode_name(proxy_mode_t mode);

/* Listens on 127.0.0.1:port for 127.0.0.1:target. Aborts when it cannot. */
soak_proxy_t *soak_proxy_new(guint port, guint target);
void soak_proxy_free(soak_proxy_t *proxy);

/*
 * Starts a mode. delay_ms is that of PROXY_DELAY. A new mode ends the one
 * before; what was held back is sent then. Silence lasts as long as the
 * connections do.
 */
void soak_proxy_set(soak_proxy_t *proxy, proxy_mode_t mode, guint delay_ms);

/* TRUE while a mode other than PROXY_PASS is on. */
gboolean soak_proxy_is_faulty(const soak_proxy_t *proxy);

#endif
