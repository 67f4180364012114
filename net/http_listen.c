#include "net/http_listen.h"

#include "net/address.h"

gboolean http_listen(SoupServer *server, const char *address, catk_error_t *err)
{
	GSocket *socket = address_listen(address, err);
	GError *error = NULL;
	gboolean ok;

	if (!socket)
		return FALSE;
	ok = soup_server_listen_socket(server, socket, 0, &error);
	if (!ok)
		catk_error_set(err, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
			       "cannot serve on %s: %s; choose another port",
			       address, error->message);
	g_clear_error(&error);
	g_object_unref(socket);
	return ok;
}
